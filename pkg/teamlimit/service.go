package teamlimit

import (
	"bytes"
	"context"
	"errors"
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/sys/unix"

	"github.com/sycamorehub/sycamorehub/pkg/clusterconfig"
	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/loglimit"
	"github.com/sycamorehub/sycamorehub/pkg/ownership"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

const (
	// Shards is the number of shards of teams. It is part of the protocol: all VMs must have the same.
	Shards = 2
	// requestTimeout bounds a request to a keeper, and detachTimeout one that leaves it.
	requestTimeout = 300 * time.Millisecond
	detachTimeout  = 150 * time.Millisecond
	// retryPause follows a request that was not answered, idlePause passes while no team has a limit.
	retryPause = 20 * time.Millisecond
	idlePause  = 200 * time.Millisecond
)

// Options configure a Service.
type Options struct {
	Self string
	// Live returns the VMs that take work, and Listed those that the platform lists without this one. ok is false before the
	// first list is known.
	Live   func() []platform.VM
	Listed func() (vms []platform.VM, ok bool)
	// Request sends a message to the Service of another VM and returns the answer of its Handle.
	Request func(ctx context.Context, vm platform.VM, body []byte) ([]byte, error)
	// Document returns the configuration in force, nil for none.
	Document func() *clusterconfig.Document
	Log      logrus.FieldLogger
	Clock    Clock // nil: the VM's clock
}

// Service is the part of a VM that asks keepers for tokens, and is a keeper for others.
type Service struct {
	options  Options
	keepers  [Shards]*Keeper
	purse    *Purse
	wake     [Shards]chan struct{}
	logLimit loglimit.Limiter
	names    atomic.Pointer[listedNames]
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
}

// bootClock returns the time since the VM's boot. It goes on while the VM is suspended.
func bootClock() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // the clock exists on every supported system
	}
	return time.Duration(t.Nano())
}

// New returns a service that has not been started.
func New(o Options) *Service {
	if o.Clock == nil {
		o.Clock = bootClock
	}
	s := &Service{options: o}
	for i := range Shards {
		s.keepers[i] = NewKeeper(o.Clock, rand.Uint64()|1, s, s.listed)
		s.wake[i] = make(chan struct{}, 1)
	}
	s.purse = NewPurse(o.Clock, s.wakeShard)
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// Limit implements Teams.
func (s *Service) Limit(team string) (*clusterconfig.RateLimit, bool) {
	doc := s.options.Document()
	if doc == nil {
		return nil, false
	}
	t, ok := doc.Team(team)
	return t.Limit, ok
}

// Limited implements Teams.
func (s *Service) Limited(f func(team string)) {
	doc := s.options.Document()
	if doc == nil {
		return
	}
	for _, t := range doc.Teams {
		if t.Limit != nil {
			f(t.Name)
		}
	}
}

// listed returns the names of all listed VMs, nil before the first list is known: without it this VM would take itself for
// the whole fleet.
func (s *Service) listed() map[string]bool {
	now := s.options.Clock()
	if l := s.names.Load(); l != nil && now-l.at < listedMaxAge {
		return l.names
	}
	vms, ok := s.options.Listed()
	if !ok {
		return nil
	}
	names := map[string]bool{s.options.Self: true}
	for _, vm := range vms {
		names[vm.Name] = true
	}
	s.names.Store(&listedNames{names, now})
	return names
}

// listedNames are the names of the listed VMs at a time. They are kept for listedMaxAge.
type listedNames struct {
	names map[string]bool
	at    time.Duration
}

const listedMaxAge = 100 * time.Millisecond

// shardOf returns the shard of a team.
func shardOf(team string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(team))
	return int(h.Sum32() % Shards)
}

func (s *Service) wakeShard(team string) {
	select {
	case s.wake[shardOf(team)] <- struct{}{}:
	default:
	}
}

// Start starts asking for tokens.
func (s *Service) Start(context.Context) error {
	for i := range Shards {
		s.wg.Add(1)
		go s.run(i)
	}
	return nil
}

// Stop ends it. Operations that wait for a token are refused when their time ends.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	s.wg.Wait()
	return nil
}

// Admit takes a token for an operation of the team. It waits for the keeper's answer up to limit, and up to patience for a token
// that the keeper expects to be free then. An error means that the operation must not run.
func (s *Service) Admit(ctx context.Context, team clusterconfig.Team, patience, limit time.Duration) error {
	if team.Limit == nil {
		return nil
	}
	w, err := s.purse.Take(team, patience, limit)
	if w == nil {
		return err
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case err := <-w.done:
		return err
	case <-ctx.Done():
	case <-timer.C:
	}
	return s.purse.GiveUp(w)
}

// Handle answers a request of another VM.
func (s *Service) Handle(_ context.Context, from platform.VM, body []byte) ([]byte, error) {
	m, err := decodeRequest(body)
	if err != nil {
		return nil, err
	}
	if m.Shard < 0 || m.Shard >= Shards {
		return nil, errkind.New(errkind.ProtocolViolation, "shard %d of teams does not exist", m.Shard)
	}
	return encode(s.keepers[m.Shard].Handle(from.Name, m.Request))
}

// run is the loop of one shard: it keeps this VM attached to the shard's keeper and asks it for the tokens that are wanted.
func (s *Service) run(shard int) {
	defer s.wg.Done()
	var l link
	inShard := func(team string) bool { return shardOf(team) == shard }
	for s.ctx.Err() == nil {
		keeper, ok := s.keeperOf(shard)
		if !ok || !s.hasLimits() {
			s.sleep(shard, idlePause)
			continue
		}
		if !s.reachKeeper(shard, &l, keeper) {
			s.purse.Wants(inShard) // refuses what has waited too long
			s.sleep(-1, retryPause)
			continue
		}
		now := s.options.Clock()
		wants, next := s.purse.Wants(inShard)
		if len(wants) == 0 && !l.renewalDue(keeper.Name, now) {
			wait := l.heard + renewInterval - now
			if next > 0 {
				wait = min(wait, next-now)
			}
			s.sleep(shard, max(wait, time.Millisecond))
			continue
		}
		if !s.exchange(shard, &l, keeper, wants) {
			s.sleep(-1, retryPause)
		}
	}
}

// keeperOf returns the VM that keeps the limits of a shard. It returns false while this VM cannot know.
func (s *Service) keeperOf(shard int) (platform.VM, bool) {
	if _, listed := s.options.Listed(); !listed {
		return platform.VM{}, false
	}
	return ownership.Keeper(shard, s.options.Live())
}

func (s *Service) hasLimits() (has bool) {
	s.Limited(func(string) { has = true })
	return has
}

// sleep waits for d, or until the shard is woken. A negative shard is not woken.
func (s *Service) sleep(shard int, d time.Duration) {
	var wake chan struct{}
	if shard >= 0 {
		wake = s.wake[shard]
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-s.ctx.Done():
	case <-wake:
	case <-t.C:
	}
}

// reachKeeper makes keeper the one that the link talks to, and reports whether it is. A former keeper is told first; if it does
// not answer, this VM waits until it counts no longer there.
func (s *Service) reachKeeper(shard int, l *link, keeper platform.VM) bool {
	if l.mayTurnTo(keeper.Name, s.options.Clock()) {
		l.turnTo(keeper.Name)
		return true
	}
	former, ok := s.liveOrListed(l.keeper)
	if !ok {
		return false
	}
	_, err := s.send(shard, former, Request{Incarnation: l.incarnation, Detach: true}, detachTimeout)
	if err == nil || errors.Is(err, syscall.ECONNREFUSED) {
		l.countedOut()
		l.turnTo(keeper.Name)
		return true
	}
	return false
}

func (s *Service) liveOrListed(name string) (platform.VM, bool) {
	if name == s.options.Self {
		return platform.VM{Name: name}, true
	}
	listed, _ := s.options.Listed()
	for _, vms := range [][]platform.VM{s.options.Live(), listed} {
		for _, vm := range vms {
			if vm.Name == name {
				return vm, true
			}
		}
	}
	return platform.VM{}, false
}

// exchange sends one request to the keeper and takes over the reply. It reports whether there was one.
func (s *Service) exchange(shard int, l *link, keeper platform.VM, wants []Want) bool {
	sent := s.options.Clock()
	reply, err := s.send(shard, keeper, l.request(wants), requestTimeout)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			l.countedOut()
		}
		if log, ok := s.logLimit.Allow(s.options.Log, keeper.Name); ok {
			log.WithError(err).WithField("vm", keeper.Name).Info("keeper of teams' limits does not answer; asking again")
		}
		return false
	}
	l.receive(reply, s.options.Clock())
	if reply.Attached {
		s.purse.Receive(sent, wants, reply.Grants)
	}
	return true
}

func (s *Service) send(shard int, vm platform.VM, r Request, timeout time.Duration) (Reply, error) {
	if vm.Name == s.options.Self {
		return s.keepers[shard].Handle(vm.Name, r), nil
	}
	body, err := encode(message{Shard: shard, Request: r})
	if err != nil {
		return Reply{}, err
	}
	ctx, cancel := context.WithTimeout(s.ctx, timeout)
	defer cancel()
	answer, err := s.options.Request(ctx, vm, body)
	if err != nil {
		return Reply{}, err
	}
	var reply Reply
	if err := msgpack.Unmarshal(answer, &reply); err != nil {
		return Reply{}, errkind.Wrap(errkind.ProtocolViolation, err, "answer of the keeper cannot be decoded")
	}
	return reply, nil
}

// Use returns what this VM has admitted and refused, and what it has granted as a keeper, by team.
func (s *Service) Use() (spent []PurseUse, granted []TeamUse) {
	for _, k := range s.keepers {
		use, _ := k.Use()
		granted = append(granted, use...)
	}
	return s.purse.Use(), granted
}

// Share returns the part of all limits that this VM holds as the keeper of a shard, 0 to 1.
func (s *Service) Share(shard int) float64 {
	_, share := s.keepers[shard].Use()
	return share
}

// message is a Request with the shard that it is for.
type message struct {
	Shard   int
	Request Request
}

// encode encodes a message with its fields in order and without their names.
func encode(v any) ([]byte, error) {
	var b bytes.Buffer
	e := msgpack.NewEncoder(&b)
	e.UseArrayEncodedStructs(true)
	err := e.Encode(v)
	return b.Bytes(), err
}

func decodeRequest(body []byte) (message, error) {
	var m message
	if err := msgpack.Unmarshal(body, &m); err != nil {
		return m, errkind.Wrap(errkind.ProtocolViolation, err, "request to the keeper of teams' limits cannot be decoded")
	}
	return m, nil
}
