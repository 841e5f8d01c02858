package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// kind is a kind of step.
type kind string

// Kinds of steps. A step on VMs ends when they have started again.
const (
	stopVM        kind = "stop"             // SIGTERM, and start again
	stopVMTwice   kind = "stop twice"       // a second SIGTERM while the first is being obeyed
	stopVMAgain   kind = "stop after start" // stop, start, and SIGTERM soon after the start
	killVM        kind = "kill"             // SIGKILL, and start again
	freezeVM      kind = "freeze"           // SIGSTOP, SIGCONT at the end
	delayLink     kind = "delay link"       // extra delay of the connections opened from one data centre to another
	resetLink     kind = "reset link"       // close these connections again and again
	silenceLink   kind = "silence link"     // these connections stay open and carry nothing more
	cutLink       kind = "cut link"         // no traffic on connections that are opened in this direction
	isolate       kind = "isolate"          // a data centre is cut off from the others and from the store
	slowStore     kind = "slow store"       // requests and answers are late
	downStore     kind = "store down"       // requests get an error or no answer
	turnedAway    kind = "store turns away" // the VMs of one data centre do not reach the store
	loseAnswers   kind = "store loses answers"
	freezePrimary kind = "freeze primary"
	freezeReplica kind = "freeze replica"
	killPrimary   kind = "kill primary"
	lagReplica    kind = "lag replica"
	changeConfig  kind = "change config" // through one VM
)

// step is a fault or a change that begins at a time after the start of the callers.
type step struct {
	at, length time.Duration
	kind       kind
	vms        []string      // of a step on VMs or a change of the configuration
	from, to   string        // data centres of a step on a link; from alone for isolate and turnedAway
	variant    time.Duration // between the two signals of a stop, the time between two resets, or an extra delay
	flag       bool          // silent instead of refusing, or the killed member stays away
}

func (s step) String() string {
	targets := strings.Join(append(slices.Clone(s.vms), strings.Fields(s.from+" "+s.to)...), " ")
	return fmt.Sprintf("%6.3fs %-20s %-40s length %v variant %v flag %v", s.at.Seconds(), s.kind, targets, s.length, s.variant, s.flag)
}

// world names what steps may affect.
type world struct{ vms, dataCentres []string }

const (
	faultPeriod  = 6500 * time.Millisecond // in which steps begin
	minLength    = 300 * time.Millisecond
	maxLength    = 2500 * time.Millisecond
	stopLength   = 3 * time.Second // reserved for a VM to stop and start again
	maxVMsAtOnce = 3
)

// weightedKinds lists the kinds of each lane; a kind that occurs twice is twice as likely. The steps of one lane follow
// one another, those of different lanes overlap.
var weightedKinds = [][]kind{
	{stopVM, stopVM, stopVM, stopVMTwice, stopVMAgain, stopVMAgain},
	{stopVM, stopVMAgain, killVM, killVM, freezeVM, freezeVM},
	{delayLink, resetLink, resetLink, silenceLink, cutLink, isolate, slowStore, downStore, turnedAway, loseAnswers},
	{freezePrimary, freezeReplica, killPrimary, lagReplica, delayLink, resetLink, slowStore, downStore, turnedAway},
	{changeConfig},
}

// planner makes the plan of one seed.
type planner struct {
	world
	random       *rand.Rand
	busy         map[string][]step // planned steps by what they affect
	memberKilled bool              // a service survives the loss of the state of one member
	steps        []step
}

// plan returns the steps of a seed, ordered by time. It is a pure function: equal arguments give equal plans.
func plan(seed uint64, w world) []step {
	p := &planner{world: w, random: rand.New(rand.NewPCG(seed, 0)), busy: map[string][]step{}}
	for _, kinds := range weightedKinds {
		for at := p.between(minLength, maxLength); at < faultPeriod; {
			s := p.draw(kinds[p.random.IntN(len(kinds))], at)
			if p.claim(s) {
				p.steps = append(p.steps, s)
			}
			at += p.between(s.length/2, s.length+minLength)
		}
	}
	slices.SortStableFunc(p.steps, func(a, b step) int { return int(a.at - b.at) })
	return p.steps
}

func (p *planner) between(least, most time.Duration) time.Duration {
	return (least + time.Duration(p.random.Int64N(int64(most-least)))).Round(time.Millisecond)
}

// draw draws the targets and durations of a step.
func (p *planner) draw(k kind, at time.Duration) step {
	s := step{at: at, kind: k, length: p.between(minLength, maxLength), flag: p.random.IntN(2) == 0}
	switch k {
	case stopVM, stopVMTwice, stopVMAgain, killVM, freezeVM, changeConfig:
		n := 1
		if k != changeConfig && k != stopVMAgain && p.random.IntN(3) == 0 {
			n = 2 + p.random.IntN(maxVMsAtOnce-1)
		}
		for _, i := range p.random.Perm(len(p.vms))[:n] {
			s.vms = append(s.vms, p.vms[i])
		}
		s.variant = p.between(time.Millisecond, 1500*time.Millisecond)
		if k == stopVM || k == stopVMTwice || k == stopVMAgain {
			s.length = stopLength
		}
	case delayLink, resetLink, silenceLink, cutLink, isolate, turnedAway:
		order := p.random.Perm(len(p.dataCentres))
		s.from = p.dataCentres[order[0]]
		if k != isolate && k != turnedAway {
			s.to = p.dataCentres[order[p.random.IntN(2)]] // also within a data centre, where owners reach their members
		}
		s.variant = p.between(10*time.Millisecond, 400*time.Millisecond)
	case slowStore, lagReplica:
		s.variant = p.between(100*time.Millisecond, time.Second)
	}
	return s
}

// claim reserves what the step affects, and returns false if another step affects it at the same time.
func (p *planner) claim(s step) bool {
	if s.kind == killPrimary && p.memberKilled {
		return false
	}
	for _, name := range s.resources() {
		for _, other := range p.busy[name] {
			if s.at < other.at+other.length && other.at < s.at+s.length {
				return false
			}
		}
	}
	for _, name := range s.resources() {
		p.busy[name] = append(p.busy[name], s)
	}
	p.memberKilled = p.memberKilled || s.kind == killPrimary
	return true
}

// resources names what the step affects. Steps with a common resource never overlap, so that none undoes another.
func (s step) resources() []string {
	switch s.kind {
	case changeConfig:
		return nil
	case isolate, delayLink, resetLink, silenceLink, cutLink, turnedAway:
		return []string{"network"}
	case slowStore, downStore, loseAnswers:
		return []string{"store"}
	case freezePrimary, freezeReplica, killPrimary, lagReplica:
		return []string{"members"}
	}
	return s.vms
}
