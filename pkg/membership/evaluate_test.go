package membership

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/pkg/ownership"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/wire"
)

// outcome is all that an evaluation decides.
type outcome struct {
	live, links []platform.VM
	linked      []string
	out, in     digest
}

func (v *View) outcome() outcome {
	o := outcome{live: v.Live(), links: v.links, out: v.out, in: v.in}
	for _, name := range slices.Sorted(maps.Keys(v.peers)) {
		if v.peers[name].loop != nil {
			o.linked = append(o.linked, name)
		}
	}
	return o
}

// fullEvaluation decides from all evidence, without what earlier evaluations left but for live VMs and section times.
func fullEvaluation(v *View) outcome {
	reachable := 0
	var peers []*peer
	for _, name := range slices.Sorted(maps.Keys(v.peers)) {
		p := v.peers[name]
		if v.own(p.vm) && !p.gone {
			reachable++
		}
		if p.listed || !p.heard.IsZero() && time.Since(p.heard) <= forgetAfter {
			peers = append(peers, p)
		}
	}
	interval := v.o.Interval(reachable)
	usable := func(p *peer) bool { return !p.gone && p.fresh(interval) }
	self, held, reports := v.o.Self, map[string]bool{}, map[string]report{}
	sections := maps.Clone(v.sections)
	own, others := wire.Section{DataCentre: self.DataCentre, VMs: []wire.VMStatus{{VM: self, Draining: v.Draining()}}}, []wire.Section{}
	for _, p := range peers {
		if usable(p) && v.own(p.vm) {
			own.VMs = append(own.VMs, wire.VMStatus{VM: p.vm, Draining: p.draining})
		}
		for _, s := range p.sections {
			if !usable(p) {
				continue
			}
			if !v.own(p.vm) {
				others = append(others, s)
			}
			if s.DataCentre == self.DataCentre {
				continue
			}
			held[s.DataCentre], sections[s.DataCentre] = true, time.Now()
			for _, st := range s.VMs {
				if st.VM.DataCentre == s.DataCentre {
					key := s.DataCentre + "/" + st.VM.Name
					reports[key] = report{reports[key].draining || st.Draining, st.VM}
				}
			}
		}
	}
	o := outcome{out: newDigest([]wire.Section{own}), in: newDigest(others)}
	if !v.Draining() {
		o.live = append(o.live, self)
	}
	limit := max(staleMinimum, staleInterval*interval)
	for _, p := range peers {
		last, known := sections[p.vm.DataCentre]
		if !known {
			last = v.started
		}
		r, reported := reports[p.vm.DataCentre+"/"+p.vm.Name]
		stale := !v.own(p.vm) && time.Since(last) > limit
		var alive bool
		switch {
		case p.vm.State == platform.VMLeaving, p.draining && p.fresh(interval):
		case v.own(p.vm):
			alive = !p.gone && (p.listed || !p.heard.IsZero())
		case p.held(interval):
		case usable(p):
			alive = true
		case reported:
			alive = !r.draining
		case known && !stale:
			alive = v.wasLive(p.vm.Name) && !held[p.vm.DataCentre]
		default:
			alive = !stale && p.listed && !p.gone
		}
		if alive {
			o.live = append(o.live, p.vm)
		}
	}
	for key, r := range reports {
		_, name, _ := strings.Cut(key, "/")
		known := slices.ContainsFunc(peers, func(p *peer) bool { return p.vm.Name == name })
		if !known && !r.draining && r.vm.State != platform.VMLeaving {
			o.live = append(o.live, r.vm)
		}
	}
	sortVMs(o.live)
	candidates := slices.Clone(o.live)
	for _, p := range peers {
		reached := slices.ContainsFunc(o.live, func(vm platform.VM) bool { return vm.DataCentre == p.vm.DataCentre })
		if !reached && p.listed && !p.held(interval) && p.vm.State != platform.VMLeaving {
			candidates = append(candidates, p.vm)
		}
	}
	sortVMs(candidates)
	o.links = ownership.HeartbeatPeers(self, candidates)
	linked := map[string]bool{}
	for _, vm := range o.links {
		linked[vm.Name] = true
	}
	for _, p := range peers {
		if v.own(p.vm) && p.vm.State != platform.VMLeaving {
			linked[p.vm.Name] = true
		}
	}
	o.linked = slices.Sorted(maps.Keys(linked))
	return o
}

// Guards against an evaluation that misses a change: after each random event the view must equal one that is worked
// out from all evidence at once.
func TestIncrementalEvaluationEqualsFull(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			e := newEvents(t, seed)
			for step := range 400 {
				what := e.next()
				e.v.mu.Lock()
				want := fullEvaluation(e.v)
				e.v.evaluate()
				got := e.v.outcome()
				e.v.mu.Unlock()
				require.Equal(t, want, got, "seed %d, step %d: %s", seed, step, what)
			}
		})
	}
}

// events changes what a view knows at random. Times move by more than any limit, so that none passes between the two
// evaluations that are compared.
type events struct {
	*rand.Rand
	t     *testing.T
	v     *View
	all   []platform.VM
	list  []platform.VM
	moves int
}

func newEvents(t *testing.T, seed uint64) *events {
	e := &events{Rand: rand.New(rand.NewPCG(seed, 0)), t: t, all: newNetwork(4, 3, 3, 2, 1).list}
	n := newNetwork()
	e.v = n.start(t, e.all[0], func(int) time.Duration { return time.Minute })
	e.v.cancel() // loops end before their first heartbeat
	e.list = slices.Clone(e.all[:9])
	return e
}

func (e *events) other() platform.VM { return e.all[1+e.IntN(len(e.all)-1)] }

func (e *events) next() string {
	e.v.mu.Lock()
	defer e.v.mu.Unlock()
	vm := e.other()
	p := e.v.peers[vm.Name]
	kind := e.IntN(9)
	switch {
	case kind < 4:
		e.v.mu.Unlock()
		e.hear(vm)
		e.v.mu.Lock()
		return "message from " + vm.Name
	case kind == 4:
		e.v.mu.Unlock()
		e.relist()
		e.v.mu.Lock()
		return "list"
	case kind == 5 && p != nil:
		heard := p.heard
		e.v.mu.Unlock()
		e.v.lost(vm.Name, heard)
		e.v.mu.Lock()
		return "lost " + vm.Name
	case kind == 6 && p != nil && !p.heard.IsZero():
		p.heard, p.goneAt = p.heard.Add(-time.Hour), p.goneAt.Add(-time.Hour)
		return "time passes for " + vm.Name
	case kind == 7:
		for dc := range e.v.sections {
			if e.IntN(2) == 0 {
				e.v.sections[dc] = e.v.sections[dc].Add(-time.Hour)
			}
		}
		if e.IntN(20) == 0 {
			e.v.started = e.v.started.Add(-time.Hour)
		}
		return "sections get old"
	case kind == 8 && e.IntN(8) == 0:
		e.v.draining.Store(!e.v.draining.Load())
		return "draining"
	}
	return "nothing"
}

// hear takes in a heartbeat of vm, with sections when it is likely to send some.
func (e *events) hear(vm platform.VM) {
	h := wire.Heartbeat{Draining: e.IntN(6) == 0}
	own := vm.DataCentre == e.all[0].DataCentre
	for _, dc := range []string{"dc-1", "dc-2", "dc-3", "dc-4"} {
		if dc != vm.DataCentre && (!own || e.IntN(2) == 0) {
			continue
		}
		s := wire.Section{DataCentre: dc}
		for _, o := range e.all {
			if o.DataCentre == dc && e.IntN(4) > 0 {
				s.VMs = append(s.VMs, wire.VMStatus{VM: o, Draining: e.IntN(6) == 0})
			}
		}
		h.Sections = append(h.Sections, s)
	}
	h.Digest = e.Uint32N(3) // 0: none; others repeat, so that unchanged ones occur
	if e.IntN(20) == 0 {
		e.moves++
		vm.PeerAddr = fmt.Sprint("10.9.9.9:", e.moves)
	}
	body, err := wire.NewEncoder().HeartbeatBody(&h)
	require.NoError(e.t, err)
	require.NoError(e.t, e.v.receive(vm, body, e.IntN(2) == 0))
}

// relist installs a list with one VM added, removed, leaving or moved to another data centre.
func (e *events) relist() {
	vm := e.other()
	at := slices.IndexFunc(e.list, func(o platform.VM) bool { return o.Name == vm.Name })
	switch {
	case at < 0:
		e.list = append(e.list, vm)
	case e.IntN(3) == 0:
		e.list = slices.Delete(e.list, at, at+1)
	case e.IntN(2) == 0:
		e.list[at].State = []platform.VMState{platform.VMLive, platform.VMLeaving}[e.IntN(2)]
	default:
		e.list[at].DataCentre = e.other().DataCentre
	}
	e.v.install(slices.Clone(e.list))
}
