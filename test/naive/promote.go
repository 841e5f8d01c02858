package naive

import (
	"context"
	"sync"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// The same intervals as the system's, so that a difference in the gap comes from the rules.
const (
	pollInterval  = 150 * time.Millisecond
	callTimeout   = 300 * time.Millisecond
	detectionTime = 900 * time.Millisecond
)

// observation is what the polls of one member have shown.
type observation struct {
	status     platform.Status
	lastAnswer time.Time
}

// serviceView is what one VM believes about a service.
type serviceView struct {
	service platform.Service

	mu           sync.Mutex
	primary      string
	term         platform.Term
	observations map[string]*observation
}

func (v *serviceView) currentPrimary() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.primary
}

func (v *serviceView) memberNamed(name string) platform.Member {
	for _, m := range v.service.Members {
		if m.Name == name {
			return m
		}
	}
	return v.service.Members[0]
}

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

// recordStatus takes over a status; the primary of the highest term seen counts.
func (v *serviceView) recordStatus(name string, status platform.Status) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.observations[name].status, v.observations[name].lastAnswer = status, time.Now()
	if status.Role == platform.RolePrimary && status.FencedTerm > v.term {
		v.primary, v.term = name, status.FencedTerm
	}
}

// watchPrimary promotes another member as soon as the primary has been silent for the detection time.
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

// successor returns the reachable member with the highest position when the primary is silent, and a new term.
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

// promote fences and promotes one member and lets the others follow it.
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
