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

// evaluation holds all results of an evaluation.
type evaluation struct {
	live, links                []platform.VM
	heartbeatsWith             []string
	ownSection, remoteSections sectionSet
}

func (v *View) lastEvaluation() evaluation {
	result := evaluation{live: v.Live(), links: v.links, ownSection: v.ownSection, remoteSections: v.remoteSections}
	for _, name := range slices.Sorted(maps.Keys(v.peers)) {
		if v.peers[name].loop != nil {
			result.heartbeatsWith = append(result.heartbeatsWith, name)
		}
	}
	return result
}

// fullEvaluation evaluates all evidence. Of the results of earlier evaluations it uses only the live VMs and the times at
// which sections were last held.
func fullEvaluation(v *View) evaluation {
	reachable := 0
	var peers []*peer
	for _, name := range slices.Sorted(maps.Keys(v.peers)) {
		p := v.peers[name]
		if v.inOwnDataCentre(p.vm) && !p.gone {
			reachable++
		}
		if p.listed || !p.lastHeard.IsZero() && time.Since(p.lastHeard) <= unlistedRetention {
			peers = append(peers, p)
		}
	}
	interval := v.options.Interval(reachable)
	usable := func(p *peer) bool { return !p.gone && p.heardRecently(interval) }
	self, sectionHeld, reports := v.options.Self, map[string]bool{}, map[string]vmReport{}
	lastHeld := maps.Clone(v.sectionLastHeld)
	ownSection, remoteSections := wire.Section{DataCentre: self.DataCentre,
		VMs: []wire.VMStatus{{VM: self, Draining: v.Draining()}}}, []wire.Section{}
	for _, p := range peers {
		if usable(p) && v.inOwnDataCentre(p.vm) {
			ownSection.VMs = append(ownSection.VMs, wire.VMStatus{VM: p.vm, Draining: p.draining})
		}
		for _, s := range p.sections {
			if !usable(p) {
				continue
			}
			if !v.inOwnDataCentre(p.vm) {
				remoteSections = append(remoteSections, s)
			}
			if s.DataCentre == self.DataCentre {
				continue
			}
			sectionHeld[s.DataCentre], lastHeld[s.DataCentre] = true, time.Now()
			for _, st := range s.VMs {
				if st.VM.DataCentre == s.DataCentre {
					key := s.DataCentre + "/" + st.VM.Name
					reports[key] = vmReport{reports[key].draining || st.Draining, st.VM}
				}
			}
		}
	}
	result := evaluation{ownSection: newSectionSet([]wire.Section{ownSection}),
		remoteSections: newSectionSet(remoteSections)}
	if !v.Draining() {
		result.live = append(result.live, self)
	}
	staleAfter := max(minStaleAfter, staleAfterIntervals*interval)
	for _, p := range peers {
		last, known := lastHeld[p.vm.DataCentre]
		if !known {
			last = v.started
		}
		r, reported := reports[p.vm.DataCentre+"/"+p.vm.Name]
		stale := !v.inOwnDataCentre(p.vm) && time.Since(last) > staleAfter
		var alive bool
		switch {
		case p.vm.State == platform.VMLeaving, p.draining && p.heardRecently(interval):
		case v.inOwnDataCentre(p.vm):
			alive = !p.gone && (p.listed || !p.lastHeard.IsZero())
		case p.heldOff(interval):
		case usable(p):
			alive = true
		case reported:
			alive = !r.draining
		case known && !stale:
			alive = v.wasLive(p.vm.Name) && !sectionHeld[p.vm.DataCentre]
		default:
			alive = !stale && p.listed && !p.gone
		}
		if alive {
			result.live = append(result.live, p.vm)
		}
	}
	for key, r := range reports {
		_, name, _ := strings.Cut(key, "/")
		known := slices.ContainsFunc(peers, func(p *peer) bool { return p.vm.Name == name })
		if !known && !r.draining && r.vm.State != platform.VMLeaving {
			result.live = append(result.live, r.vm)
		}
	}
	sortVMs(result.live)
	candidates := slices.Clone(result.live)
	for _, p := range peers {
		dataCentreLive := slices.ContainsFunc(result.live, func(vm platform.VM) bool { return vm.DataCentre == p.vm.DataCentre })
		if !dataCentreLive && p.listed && !p.heldOff(interval) && p.vm.State != platform.VMLeaving {
			candidates = append(candidates, p.vm)
		}
	}
	sortVMs(candidates)
	result.links = ownership.HeartbeatPeers(self, candidates)
	linked := map[string]bool{}
	for _, vm := range result.links {
		linked[vm.Name] = true
	}
	for _, p := range peers {
		if v.inOwnDataCentre(p.vm) && p.vm.State != platform.VMLeaving {
			linked[p.vm.Name] = true
		}
	}
	result.heartbeatsWith = slices.Sorted(maps.Keys(linked))
	return result
}

// Guards against an evaluation that misses a change: after each random event its results must equal those of a full
// evaluation.
func TestIncrementalEvaluationEqualsFull(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			e := newRandomEvents(t, seed)
			for step := range 400 {
				event := e.next()
				e.view.mu.Lock()
				want := fullEvaluation(e.view)
				e.view.evaluate()
				got := e.view.lastEvaluation()
				e.view.mu.Unlock()
				require.Equal(t, want, got, "seed %d, step %d: %s", seed, step, event)
			}
		})
	}
}

// randomEvents changes the evidence of a view at random. It shifts times by more than any limit, so that no limit is
// passed between the two evaluations that are compared.
type randomEvents struct {
	*rand.Rand
	t           *testing.T
	view        *View
	all         []platform.VM
	list        []platform.VM
	addrChanges int
}

func newRandomEvents(t *testing.T, seed uint64) *randomEvents {
	e := &randomEvents{Rand: rand.New(rand.NewPCG(seed, 0)), t: t, all: newNetwork(4, 3, 3, 2, 1).list}
	n := newNetwork()
	e.view = n.addView(t, e.all[0], func(int) time.Duration { return time.Minute })
	e.view.cancel() // heartbeat loops end before their first heartbeat
	e.list = slices.Clone(e.all[:9])
	return e
}

func (e *randomEvents) randomPeer() platform.VM { return e.all[1+e.IntN(len(e.all)-1)] }

func (e *randomEvents) next() string {
	e.view.mu.Lock()
	defer e.view.mu.Unlock()
	vm := e.randomPeer()
	p := e.view.peers[vm.Name]
	kind := e.IntN(9)
	switch {
	case kind < 4:
		e.view.mu.Unlock()
		e.receiveHeartbeat(vm)
		e.view.mu.Lock()
		return "message from " + vm.Name
	case kind == 4:
		e.view.mu.Unlock()
		e.changeList()
		e.view.mu.Lock()
		return "list"
	case kind == 5 && p != nil:
		lastHeard := p.lastHeard
		e.view.mu.Unlock()
		e.view.recordFailure(vm.Name, lastHeard)
		e.view.mu.Lock()
		return "lost " + vm.Name
	case kind == 6 && p != nil && !p.lastHeard.IsZero():
		p.lastHeard, p.lastFailed = p.lastHeard.Add(-time.Hour), p.lastFailed.Add(-time.Hour)
		return "time passes for " + vm.Name
	case kind == 7:
		for dc := range e.view.sectionLastHeld {
			if e.IntN(2) == 0 {
				e.view.sectionLastHeld[dc] = e.view.sectionLastHeld[dc].Add(-time.Hour)
			}
		}
		if e.IntN(20) == 0 {
			e.view.started = e.view.started.Add(-time.Hour)
		}
		return "sections get old"
	case kind == 8 && e.IntN(8) == 0:
		e.view.draining.Store(!e.view.draining.Load())
		return "draining"
	}
	return "nothing"
}

// receiveHeartbeat has the view handle a heartbeat from vm. A VM of another data centre sends the section of
// that data centre. A VM of the view's data centre sends sections of a random choice of the others.
func (e *randomEvents) receiveHeartbeat(vm platform.VM) {
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
	h.Digest = e.Uint32N(3) // 0: no sections; few values, so that unchanged digests occur
	if e.IntN(20) == 0 {
		e.addrChanges++
		vm.PeerAddr = fmt.Sprint("10.9.9.9:", e.addrChanges)
	}
	body, err := wire.NewEncoder().HeartbeatBody(&h)
	require.NoError(e.t, err)
	require.NoError(e.t, e.view.handleHeartbeat(vm, body, e.IntN(2) == 0))
}

// changeList applies a list in which one VM is added, removed, marked as live or leaving, or moved to a random data
// centre.
func (e *randomEvents) changeList() {
	vm := e.randomPeer()
	at := slices.IndexFunc(e.list, func(o platform.VM) bool { return o.Name == vm.Name })
	switch {
	case at < 0:
		e.list = append(e.list, vm)
	case e.IntN(3) == 0:
		e.list = slices.Delete(e.list, at, at+1)
	case e.IntN(2) == 0:
		e.list[at].State = []platform.VMState{platform.VMLive, platform.VMLeaving}[e.IntN(2)]
	default:
		e.list[at].DataCentre = e.randomPeer().DataCentre
	}
	e.view.applyList(slices.Clone(e.list))
}
