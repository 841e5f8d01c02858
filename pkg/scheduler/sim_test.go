package scheduler

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// The simulation drives policies in virtual time. Arrivals are Poisson processes, service times are uniformly
// distributed, and each member has a fixed number of slots. The seed determines a run completely.

// stream is the arrival process of one class.
type stream struct {
	class       string
	rank        unit.Rank
	target      time.Duration
	load        float64 // offered work as a fraction of the fleet's capacity
	floodFactor float64 // load is multiplied by it between floodStart and simEnd
}

const (
	floodStart     = 5 * time.Second
	lossTime       = 15 * time.Second
	simEnd         = 25 * time.Second
	minServiceTime = 5 * time.Millisecond
	maxServiceTime = 20 * time.Millisecond
)

// job is one unit in the simulation.
type job struct {
	stream      *stream
	arrived     time.Duration
	serviceTime time.Duration
	member      *simMember
	unit        *ScheduledUnit
}

// memberPolicy is the scheduling policy of a simulated member.
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
	usefulWork                             time.Duration // service time of units in target, until simEnd
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

// schedulerPolicy adapts Policy to memberPolicy.
type schedulerPolicy struct {
	policy *Policy
	jobs   map[*ScheduledUnit]*job
	sim    *simulation
}

func (p *schedulerPolicy) enqueue(now time.Duration, j *job) bool {
	su, err := p.policy.Enqueue(simEpoch.Add(now), Request{
		Class: j.stream.class, Rank: j.stream.rank, Target: j.stream.target, Arrived: simEpoch.Add(j.arrived),
	})
	if err != nil {
		return false
	}
	j.unit = su
	p.jobs[su] = j
	return true
}

func (p *schedulerPolicy) next(now time.Duration) *job {
	su := p.policy.Next(simEpoch.Add(now))
	for _, r := range p.policy.TakeRefused() {
		p.sim.countUnit(p.jobs[r.Unit], func(t *tally) { t.refused++ })
		delete(p.jobs, r.Unit)
	}
	if su == nil {
		return nil
	}
	return p.jobs[su]
}

func (p *schedulerPolicy) finish(now time.Duration, j *job) {
	p.policy.Finish(simEpoch.Add(now), j.unit, false)
	delete(p.jobs, j.unit)
}

// fifoPolicy is the baseline for comparison: one queue in order of arrival that refuses nothing.
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
			m.policy = &schedulerPolicy{policy: NewPolicy(l, simEpoch), jobs: map[*ScheduledUnit]*job{}, sim: s}
		}
		s.members = append(s.members, m)
	}
	return s
}

func (s *simulation) schedule(t time.Duration, do func()) { heap.Push(&s.events, event{t, do}) }

// run simulates until every unit has finished or was refused or lost, and returns the tallies per class.
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

// scheduleArrival schedules the first arrival of a stream after t. That arrival schedules the one that follows.
func (s *simulation) scheduleArrival(st *stream, t time.Duration) {
	load := st.load
	if t >= floodStart {
		load *= st.floodFactor
	}
	perSecond := load * float64(len(s.members)*s.slots) / ((minServiceTime + maxServiceTime) / 2).Seconds()
	next := t + time.Duration(s.random.ExpFloat64()/perSecond*float64(time.Second))
	if next >= simEnd {
		return
	}
	s.schedule(next, func() {
		j := &job{stream: st, arrived: s.now,
			serviceTime: minServiceTime + time.Duration(s.random.Int64N(int64(maxServiceTime-minServiceTime)))}
		s.countUnit(j, func(t *tally) { t.arrived++ })
		s.submit(j)
		s.scheduleArrival(st, s.now)
	})
}

// submit hands a job to a random member that is not down.
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
		s.schedule(s.now+j.serviceTime, func() { s.finish(m, j) })
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
				t.usefulWork += j.serviceTime
			}
		} else {
			t.late++
		}
	})
	s.dispatch(m)
}

// loseMember takes the first member down. Its running units are lost and its queued units move to the other members.
func (s *simulation) loseMember() {
	m := s.members[0]
	m.down = true
	for _, j := range jobsByArrival(m.waiting) {
		s.submit(j)
	}
}

// countUnit updates the tally of a job's class if the job arrived during the flood. It also removes the job from the
// waiting set of its member.
func (s *simulation) countUnit(j *job, count func(*tally)) {
	if j.arrived >= floodStart {
		count(s.tallies[j.stream.class])
	}
	if j.member != nil {
		delete(j.member.waiting, j)
	}
}
