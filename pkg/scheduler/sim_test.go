package scheduler

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// The simulation drives policies in virtual time: Poisson arrivals, uniform service times, members with a number of
// slots each. A run is a function of its seed.

// stream is the arrival process of one class.
type stream struct {
	class       string
	rank        unit.Rank
	target      time.Duration
	load        float64 // offered work as a part of the fleet's capacity
	floodFactor float64 // factor on load between floodStart and simEnd
}

const (
	floodStart = 5 * time.Second
	lossTime   = 15 * time.Second
	simEnd     = 25 * time.Second
	serviceMin = 5 * time.Millisecond
	serviceMax = 20 * time.Millisecond
)

// job is one unit in the simulation.
type job struct {
	stream  *stream
	arrived time.Duration
	service time.Duration
	member  *simMember
	item    *Item
}

// memberPolicy is what a simulated member asks: our policy or the naive one.
type memberPolicy interface {
	enqueue(now time.Duration, j *job) bool
	next(now time.Duration) *job
	finish(now time.Duration, j *job)
}

type simMember struct {
	policy  memberPolicy
	down    bool
	waiting map[*job]bool
}

// tally counts the units of one class that arrived during the flood.
type tally struct {
	arrived, inTarget, late, refused, lost int
	usefulWork                             time.Duration // service time of units answered in time while arrivals go on
}

type event struct {
	at time.Duration
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, k int) bool { return e[i].at < e[k].at }
func (e events) Swap(i, k int)      { e[i], e[k] = e[k], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

type simulation struct {
	random     *rand.Rand
	now        time.Duration
	events     events
	slots      int
	members    []*simMember
	streams    []stream
	memberLoss bool // the first member is lost at lossTime
	tallies    map[string]*tally
}

var simEpoch = time.Unix(0, 0)

// schedulerPolicy adapts Policy.
type schedulerPolicy struct {
	policy *Policy
	jobs   map[*Item]*job
	sim    *simulation
}

func (o *schedulerPolicy) enqueue(now time.Duration, j *job) bool {
	it, err := o.policy.Enqueue(simEpoch.Add(now), Request{
		Class: j.stream.class, Rank: j.stream.rank, Target: j.stream.target, Arrived: simEpoch.Add(j.arrived),
	})
	if err != nil {
		return false
	}
	j.item = it
	o.jobs[it] = j
	return true
}

func (o *schedulerPolicy) next(now time.Duration) *job {
	it := o.policy.Next(simEpoch.Add(now))
	for _, r := range o.policy.TakeRefused() {
		o.sim.countUnit(o.jobs[r.Item], func(t *tally) { t.refused++ })
		delete(o.jobs, r.Item)
	}
	if it == nil {
		return nil
	}
	return o.jobs[it]
}

func (o *schedulerPolicy) finish(now time.Duration, j *job) {
	o.policy.Finish(simEpoch.Add(now), j.item, false)
	delete(o.jobs, j.item)
}

// fifoPolicy is the naive policy: one queue in order of arrival, no refusal.
type fifoPolicy struct {
	slots, running int
	waiting        []*job
}

func (f *fifoPolicy) enqueue(_ time.Duration, j *job) bool {
	f.waiting = append(f.waiting, j)
	return true
}

func (f *fifoPolicy) next(time.Duration) *job {
	if f.running == f.slots || len(f.waiting) == 0 {
		return nil
	}
	j := f.waiting[0]
	f.waiting = f.waiting[1:]
	f.running++
	return j
}

func (f *fifoPolicy) finish(time.Duration, *job) { f.running-- }

func newSimulation(seed uint64, members, slots int, useFIFO bool, streams []stream) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 1)), slots: slots, streams: streams, tallies: map[string]*tally{}}
	for range members {
		m := &simMember{waiting: map[*job]bool{}}
		if useFIFO {
			m.policy = &fifoPolicy{slots: slots}
		} else {
			l := Limits{Slots: slots, Transactions: 14, MaxQueue: 1000}
			m.policy = &schedulerPolicy{policy: NewPolicy(l, simEpoch), jobs: map[*Item]*job{}, sim: s}
		}
		s.members = append(s.members, m)
	}
	return s
}

func (s *simulation) schedule(t time.Duration, do func()) { heap.Push(&s.events, event{t, do}) }

// run simulates until all arrivals are answered or refused and returns the tallies per class.
func (s *simulation) run() map[string]*tally {
	for i := range s.streams {
		s.tallies[s.streams[i].class] = &tally{}
		s.scheduleArrival(&s.streams[i], 0)
	}
	if s.memberLoss {
		s.schedule(lossTime, s.loseMember)
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	return s.tallies
}

// scheduleArrival schedules the next arrival of a stream after t.
func (s *simulation) scheduleArrival(st *stream, t time.Duration) {
	load := st.load
	if t >= floodStart {
		load *= st.floodFactor
	}
	perSecond := load * float64(len(s.members)*s.slots) / ((serviceMin + serviceMax) / 2).Seconds()
	next := t + time.Duration(s.random.ExpFloat64()/perSecond*float64(time.Second))
	if next >= simEnd {
		return
	}
	s.schedule(next, func() {
		j := &job{stream: st, arrived: s.now, service: serviceMin + time.Duration(s.random.Int64N(int64(serviceMax-serviceMin)))}
		s.countUnit(j, func(t *tally) { t.arrived++ })
		s.submit(j)
		s.scheduleArrival(st, s.now)
	})
}

// submit hands a job to a random member that lives.
func (s *simulation) submit(j *job) {
	m := s.members[s.random.IntN(len(s.members))]
	for m.down {
		m = s.members[s.random.IntN(len(s.members))]
	}
	j.member = m
	if !m.policy.enqueue(s.now, j) {
		s.countUnit(j, func(t *tally) { t.refused++ })
		return
	}
	m.waiting[j] = true
	s.dispatch(m)
}

func (s *simulation) dispatch(m *simMember) {
	for j := m.policy.next(s.now); j != nil; j = m.policy.next(s.now) {
		delete(m.waiting, j)
		s.schedule(s.now+j.service, func() { s.finish(m, j) })
	}
}

func (s *simulation) finish(m *simMember, j *job) {
	if m.down {
		s.countUnit(j, func(t *tally) { t.lost++ })
		return
	}
	m.policy.finish(s.now, j)
	s.countUnit(j, func(t *tally) {
		if s.now-j.arrived <= j.stream.target {
			t.inTarget++
			if s.now < simEnd {
				t.usefulWork += j.service
			}
		} else {
			t.late++
		}
	})
	s.dispatch(m)
}

// loseMember ends the first member: its running units are lost, its queued ones move to the others.
func (s *simulation) loseMember() {
	m := s.members[0]
	m.down = true
	for _, j := range sortedJobs(m.waiting) {
		s.submit(j)
	}
}

// countUnit counts a unit if it arrived during the flood.
func (s *simulation) countUnit(j *job, count func(*tally)) {
	if j.arrived >= floodStart {
		count(s.tallies[j.stream.class])
	}
	if j.member != nil {
		delete(j.member.waiting, j)
	}
}
