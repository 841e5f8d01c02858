package quorum

import (
	"slices"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// Phase is the phase of a promotion attempt.
type Phase uint8

// Phases of a promotion attempt. PhasePromoted and PhaseLost are final.
const (
	PhaseFencing Phase = iota
	PhasePromoting
	PhasePromoted
	PhaseLost
)

// InputKind says what happened to a request of the attempt.
type InputKind uint8

// Kinds of input.
const (
	FenceAnswered   InputKind = iota // the member accepted the fence; its Status holds the log end and whether it counts
	FenceRefused                     // the member holds a higher fence, or one of the same term with another promoter ID
	PromoteAnswered                  // the member is now the primary of the term
	PromoteRefused                   // the fence of the member is no longer that of the attempt
	NoAnswer                         // the request may or may not have taken effect
	Abandoned                        // the driver abandons the attempt
)

// Input is an event that the driver reports to a Promoter.
type Input struct {
	Kind   InputKind
	Member string
	Status platform.Status // only for FenceAnswered
}

// ActionKind is the kind of a request to a member.
type ActionKind uint8

// Kinds of action.
const (
	FenceMember ActionKind = iota
	PromoteMember
	FollowMember // follow the member that Promoter.Chosen returns
)

// Action is a request that the driver sends to Member with the term and ID of the attempt.
type Action struct {
	Kind   ActionKind
	Member string
}

// Attempt holds the parameters of a promotion attempt.
type Attempt struct {
	// Term is higher than every term that the promoter has seen.
	Term platform.Term
	// ID is the promoter ID that fences carry. It must be unique per attempt, also across restarts of the process. Repeating a
	// fence with the same ID succeeds, so a reused ID could win a second majority in the same term.
	ID string
	// Members lists all members of the service. Among members with equal logs, earlier ones are preferred.
	Members []string
	// LastResort lists members, such as leaving ones, that are promoted only if no other fenced member may be.
	LastResort []string
	// Barred lists members that are never promoted, such as those that have been leaving for long. They are fenced and count in
	// the majority.
	Barred []string
	// Absent lists those members that the platform lists no more and that do not answer. No majority needs them, but they may hold
	// acknowledged writes.
	Absent []string
	// SyncReplicas is the number of replicas that hold each acknowledged write beside the primary, on a platform that does not
	// wait for a majority. Any set that leaves out only so many members holds all acknowledged writes.
	SyncReplicas int
}

// covers reports whether n members hold between them every acknowledged write.
func (p *Promoter) covers(n int) bool {
	members := len(p.attempt.Members)
	if k := p.attempt.SyncReplicas; k > 0 && n < members-k {
		return false
	}
	return p.rules.isMajority(n, members-len(p.attempt.Absent))
}

// Promoter is the state machine of one attempt. It promotes at most one member and repeats the request only to that
// member.
type Promoter struct {
	attempt      Attempt
	rules        rules
	phase        Phase
	fenceAnswers map[string]platform.Status // statuses of the members that accepted the fence
	refused      map[string]bool            // members that refused the fence
	unanswered   map[string]bool            // members that left at least one request unanswered
	chosen       string                     // member to promote; "": not chosen yet
}

// NewPromoter starts an attempt and returns it with the first requests to send.
func NewPromoter(a Attempt) (*Promoter, []Action) { return newPromoter(a, standardRules) }

func newPromoter(a Attempt, r rules) (*Promoter, []Action) {
	p := &Promoter{
		attempt: a, rules: r, fenceAnswers: map[string]platform.Status{}, refused: map[string]bool{},
		unanswered: map[string]bool{},
	}
	return p, p.actionsForOthers(FenceMember, "")
}

// Phase returns the current phase of the attempt.
func (p *Promoter) Phase() Phase { return p.phase }

// Chosen returns the member to promote, or "" if none has been chosen yet. Once set it does not change.
func (p *Promoter) Chosen() string { return p.chosen }

// Step processes an input and returns the requests to send. The driver may delay them, for example to pace retries
// after NoAnswer. The driver may also report NoAnswer for a request that is still in flight, so that the choice does
// not wait for it. In that case it does not send the repeated request. SkipUnanswered does this for all members at once.
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

// SkipUnanswered treats every member that has not accepted the fence as unanswered, even if its request is still in
// flight. It returns the promotion request if a majority is fenced.
func (p *Promoter) SkipUnanswered() []Action {
	if p.phase != PhaseFencing {
		return nil
	}
	for _, m := range p.attempt.Members {
		if _, ok := p.fenceAnswers[m]; !ok {
			p.unanswered[m] = true
		}
	}
	return p.tryChoose()
}

func (p *Promoter) stepFencing(in Input) []Action {
	switch in.Kind {
	case FenceAnswered:
		s := in.Status
		if s.FencedTerm != p.attempt.Term || s.FencedBy != p.attempt.ID || !p.rules.keepsState(s) {
			return p.recordRefusal(in.Member)
		}
		p.fenceAnswers[in.Member] = s
		return p.tryChoose()
	case FenceRefused:
		return p.recordRefusal(in.Member)
	case NoAnswer:
		if _, ok := p.fenceAnswers[in.Member]; ok {
			return nil
		}
		p.unanswered[in.Member] = true
		if actions := p.tryChoose(); actions != nil {
			return actions
		}
		return []Action{{FenceMember, in.Member}}
	}
	return nil
}

// recordRefusal records that a member refused the fence, unless it accepted the fence before. The attempt is lost once
// the members that have not refused are too few.
func (p *Promoter) recordRefusal(member string) []Action {
	if _, ok := p.fenceAnswers[member]; !ok {
		p.refused[member] = true
	}
	if !p.covers(len(p.attempt.Members) - len(p.refused)) {
		p.phase = PhaseLost
		return nil
	}
	return p.tryChoose()
}

func (p *Promoter) stepPromoting(in Input) []Action {
	if in.Member != p.chosen {
		return nil
	}
	switch in.Kind {
	case PromoteAnswered:
		p.phase = PhasePromoted
		return p.actionsForOthers(FollowMember, p.chosen)
	case PromoteRefused:
		p.phase = PhaseLost
	case NoAnswer:
		return []Action{{PromoteMember, p.chosen}}
	}
	return nil
}

// tryChoose chooses the member to promote once enough members are fenced and every other member has refused or left a
// request unanswered. Choosing at a bare majority would be just as safe, but a later answer may bring a longer log or
// a preferred member.
func (p *Promoter) tryChoose() []Action {
	if !p.covers(len(p.fenceAnswers)) || p.awaitsAnswers() {
		return nil
	}
	best := p.newestPromotable(func(m string) bool {
		return !slices.Contains(p.attempt.LastResort, m) && !slices.Contains(p.attempt.Barred, m)
	})
	if best == "" {
		best = p.newestPromotable(func(m string) bool { return !slices.Contains(p.attempt.Barred, m) })
	}
	if best == "" {
		return nil // only a barred member has a log that is new enough; another one may still answer
	}
	p.chosen, p.phase = best, PhasePromoting
	return []Action{{PromoteMember, best}}
}

// awaitsAnswers reports whether some member has neither accepted nor refused the fence, nor left a request unanswered.
func (p *Promoter) awaitsAnswers() bool {
	return slices.ContainsFunc(p.attempt.Members, func(m string) bool {
		_, answered := p.fenceAnswers[m]
		return !answered && !p.refused[m] && !p.unanswered[m]
	})
}

// newestPromotable returns the allowed fenced member with the newest log, or "" if that log is too old. A member may
// be promoted if its log is at least as new as those of enough members, all fenced and itself included, that every
// acknowledged write is in the log of one of those.
func (p *Promoter) newestPromotable(allowed func(string) bool) string {
	best := ""
	for _, m := range p.attempt.Members {
		s, ok := p.fenceAnswers[m]
		if !ok || !allowed(m) {
			continue
		}
		if best == "" || !p.rules.logAtLeastAsNew(p.fenceAnswers[best], s) {
			best = m
		}
	}
	n := 0
	for _, s := range p.fenceAnswers {
		if best != "" && p.rules.logAtLeastAsNew(p.fenceAnswers[best], s) {
			n++
		}
	}
	if !p.covers(n) {
		return ""
	}
	return best
}

// actionsForOthers returns an action of the given kind for every member but one.
func (p *Promoter) actionsForOthers(kind ActionKind, except string) []Action {
	var actions []Action
	for _, m := range p.attempt.Members {
		if m != except {
			actions = append(actions, Action{kind, m})
		}
	}
	return actions
}
