package quorum

import (
	"slices"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// Phase of a promotion attempt.
type Phase uint8

// Phases of an attempt. Promoted and Lost are final.
const (
	PhaseFencing Phase = iota
	PhasePromoting
	PhasePromoted
	PhaseLost
)

// InputKind tells what happened to a request of the attempt.
type InputKind uint8

// Kinds of input.
const (
	FenceAnswered   InputKind = iota // the member accepted the fence; Status holds its log end and whether it counts
	FenceRefused                     // the member holds a higher fence, or an equal one of another promoter
	PromoteAnswered                  // the member is the primary of the term
	PromoteRefused                   // the member's fence is no longer that of the attempt
	NoAnswer                         // the request may or may not have taken effect
	Abandoned                        // the driver gives the attempt up
)

// Input is an event for a Promoter.
type Input struct {
	Kind   InputKind
	Member string
	Status platform.Status // for FenceAnswered
}

// ActionKind names a request to send.
type ActionKind uint8

// Kinds of action.
const (
	FenceMember ActionKind = iota
	PromoteMember
	FollowMember // follow Promoter.Chosen
)

// Action is a request that the driver sends to Member, with the term and id of the attempt.
type Action struct {
	Kind   ActionKind
	Member string
}

// Attempt describes one promotion attempt.
type Attempt struct {
	// Term is above every term that the promoter saw.
	Term platform.Term
	// ID is the promoter's name in fences. It must differ between attempts, also over restarts of a process: a fence
	// is idempotent for an equal name, so a reused name could gather a second majority in the same term.
	ID string
	// Members lists all members of the service in order of preference for equal logs.
	Members []string
	// LastResort lists members to promote only when no other fenced member may be promoted, such as leaving ones.
	LastResort []string
}

// Promoter is the state machine of one attempt. It promotes at most one member and retries only that one.
type Promoter struct {
	attempt Attempt
	rules   rules
	phase   Phase
	answers map[string]platform.Status // members that accepted the fence
	refused map[string]bool
	silent  map[string]bool // members that did not answer at least once
	chosen  string
}

// NewPromoter starts an attempt and returns it with its first actions.
func NewPromoter(a Attempt) (*Promoter, []Action) { return newPromoter(a, standardRules) }

func newPromoter(a Attempt, r rules) (*Promoter, []Action) {
	p := &Promoter{
		attempt: a, rules: r, answers: map[string]platform.Status{}, refused: map[string]bool{},
		silent: map[string]bool{},
	}
	return p, p.toOthers(FenceMember, "")
}

// Phase returns the phase of the attempt.
func (p *Promoter) Phase() Phase { return p.phase }

// Chosen returns the member to promote, or "" while none is chosen. It never changes once set.
func (p *Promoter) Chosen() string { return p.chosen }

// Step takes an input and returns the requests to send. A driver may delay a returned request, for example to pace
// retries after NoAnswer. It may also give NoAnswer for a request that is still in flight, to choose without it, and
// then does not repeat the request; SkipUnanswered does this for all members.
func (p *Promoter) Step(in Input) []Action {
	if in.Kind == Abandoned && p.phase != PhasePromoted {
		p.phase = PhaseLost
	}
	switch p.phase {
	case PhaseFencing:
		return p.stepFencing(in)
	case PhasePromoting:
		return p.stepPromoting(in)
	}
	return nil
}

// SkipUnanswered counts every member that has not answered as silent, although its request may be in flight, and returns the
// promotion if a majority is fenced.
func (p *Promoter) SkipUnanswered() []Action {
	if p.phase != PhaseFencing {
		return nil
	}
	for _, m := range p.attempt.Members {
		if _, ok := p.answers[m]; !ok {
			p.silent[m] = true
		}
	}
	return p.choose()
}

func (p *Promoter) stepFencing(in Input) []Action {
	switch in.Kind {
	case FenceAnswered:
		s := in.Status
		if s.FencedTerm != p.attempt.Term || s.FencedBy != p.attempt.ID || !p.rules.keepsState(s) {
			return p.refuse(in.Member)
		}
		p.answers[in.Member] = s
		return p.choose()
	case FenceRefused:
		return p.refuse(in.Member)
	case NoAnswer:
		if _, ok := p.answers[in.Member]; ok {
			return nil
		}
		p.silent[in.Member] = true
		if acts := p.choose(); acts != nil {
			return acts
		}
		return []Action{{FenceMember, in.Member}}
	}
	return nil
}

// refuse records a refusal. Refusals end the attempt once the others are no majority.
func (p *Promoter) refuse(member string) []Action {
	if _, ok := p.answers[member]; !ok {
		p.refused[member] = true
	}
	if len(p.attempt.Members)-len(p.refused) < Majority(len(p.attempt.Members)) {
		p.phase = PhaseLost
		return nil
	}
	return p.choose()
}

func (p *Promoter) stepPromoting(in Input) []Action {
	if in.Member != p.chosen {
		return nil
	}
	switch in.Kind {
	case PromoteAnswered:
		p.phase = PhasePromoted
		return p.toOthers(FollowMember, p.chosen)
	case PromoteRefused:
		p.phase = PhaseLost
	case NoAnswer:
		return []Action{{PromoteMember, p.chosen}}
	}
	return nil
}

// choose promotes a member once a majority is fenced and every other member has refused or been silent. A bare
// majority would be as safe, but a later answer may bring a longer log or a preferred member.
func (p *Promoter) choose() []Action {
	if !p.rules.enough(len(p.answers), len(p.attempt.Members)) || p.open() {
		return nil
	}
	best := p.newest(func(m string) bool { return !slices.Contains(p.attempt.LastResort, m) })
	if best == "" {
		best = p.newest(func(string) bool { return true })
	}
	p.chosen, p.phase = best, PhasePromoting
	return []Action{{PromoteMember, best}}
}

// open reports whether some member has neither answered, refused nor been silent.
func (p *Promoter) open() bool {
	return slices.ContainsFunc(p.attempt.Members, func(m string) bool {
		_, answered := p.answers[m]
		return !answered && !p.refused[m] && !p.silent[m]
	})
}

// newest returns the newest allowed fenced member, or "" if it is older than what a majority requires. A member may
// be promoted when it is at least as new as a majority of fenced members, itself included: every acknowledged write
// is on one of those.
func (p *Promoter) newest(allowed func(string) bool) string {
	best := ""
	for _, m := range p.attempt.Members {
		s, ok := p.answers[m]
		if !ok || !allowed(m) {
			continue
		}
		if best == "" || !p.rules.atLeastAsNew(p.answers[best], s) {
			best = m
		}
	}
	n := 0
	for _, s := range p.answers {
		if best != "" && p.rules.atLeastAsNew(p.answers[best], s) {
			n++
		}
	}
	if !p.rules.enough(n, len(p.attempt.Members)) {
		return ""
	}
	return best
}

func (p *Promoter) toOthers(kind ActionKind, except string) []Action {
	var acts []Action
	for _, m := range p.attempt.Members {
		if m != except {
			acts = append(acts, Action{kind, m})
		}
	}
	return acts
}
