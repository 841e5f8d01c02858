package naive

import (
	"context"
	"sync"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// The intervals equal those of the system, so that a difference in the time without a primary comes from the rules of
// promotion.
const (
	pollInterval  = 150 * time.Millisecond
	callTimeout   = 300 * time.Millisecond
	detectionTime = 900 * time.Millisecond
)

// observation is what polls have shown of one member.
type observation struct {
	status     platform.Status
	lastAnswer time.Time // when the last status arrived; at first when the proxy started
}

// serviceView is what this VM knows of a service.
type serviceView struct {
	service platform.Service

	mu           sync.Mutex
	primary      string                  // guarded by mu
	term         platform.Term           // guarded by mu; of primary
	observations map[string]*observation // guarded by mu; by member
}

func (v *serviceView) currentPrimary() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.primary
}

// memberNamed returns the member with the given name, or the first member when there is none.
func (v *serviceView) memberNamed(name string) platform.Member {
	for _, m := range v.service.Members {
		if m.Name == name {
			return m
		}
	}
	return v.service.Members[0]
}

// pollMember reads the status of a member every pollInterval until ctx ends.
func (p *Proxy) pollMember(ctx context.Context, v *serviceView, m platform.Member) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		status, err := p.client.Status(callCtx, m, platform.StatusWait{})
		cancel()
		if err == nil {
			v.recordStatus(m.Name, status)
		}
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
	}
}

// recordStatus records a member's status. Of the members that claim to be primary, the one with the highest term
// counts.
func (v *serviceView) recordStatus(name string, status platform.Status) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.observations[name].status, v.observations[name].lastAnswer = status, time.Now()
	if status.Role == platform.RolePrimary && status.FencedTerm > v.term {
		v.primary, v.term = name, status.FencedTerm
	}
}

// watchPrimary promotes another member as soon as the primary has been silent for detectionTime.
func (p *Proxy) watchPrimary(ctx context.Context, v *serviceView) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if name, term, ok := v.successor(time.Now()); ok {
				p.promote(ctx, v, name, term)
			}
		}
	}
}

// successor returns the member to promote and its new term once the primary has not answered for detectionTime. It
// chooses the highest position among the members that have answered within that time, and returns false if the primary
// still answers or no other member does.
func (v *serviceView) successor(now time.Time) (string, platform.Term, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if now.Sub(v.observations[v.primary].lastAnswer) < detectionTime {
		return "", 0, false
	}
	var best string
	term := v.term
	for name, observed := range v.observations {
		term = max(term, observed.status.FencedTerm)
		if name == v.primary || now.Sub(observed.lastAnswer) >= detectionTime {
			continue
		}
		if best == "" || observed.status.LastPosition > v.observations[best].status.LastPosition {
			best = name
		}
	}
	return best, term + 1, best != ""
}

// promote fences and promotes one member and makes the others follow it. It gives up at the first error;
// watchPrimary tries again.
func (p *Proxy) promote(ctx context.Context, v *serviceView, name string, term platform.Term) {
	ctx, cancel := context.WithTimeout(ctx, detectionTime)
	defer cancel()
	newPrimary := v.memberNamed(name)
	if _, err := p.client.Fence(ctx, newPrimary, term, p.self.Name); err != nil {
		return
	}
	status, err := p.client.Promote(ctx, newPrimary, term, p.self.Name)
	if err != nil {
		return
	}
	v.recordStatus(name, status)
	for _, m := range v.service.Members {
		if m.Name != name {
			go func() {
				callCtx, cancel := context.WithTimeout(context.Background(), detectionTime)
				defer cancel()
				_, _ = p.client.Follow(callCtx, m, term, newPrimary)
			}()
		}
	}
}
