package capacity

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sycamorehub/sycamorehub/emulator/member"
	"github.com/sycamorehub/sycamorehub/pkg/group"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/platform/httpapi"
)

// Numbers and times of a measurement of promotions.
const (
	promotionsPerSize = 5 // promotions in a measurement, whose median is reported
	promotionTimeout  = 16 * time.Second
	promotionIdleTime = 2 * time.Second // time in which the idle polls before a promotion are counted
	promotionPoll     = 10 * time.Millisecond
)

// countingControl counts the calls to members. statusCalls counts those that read a status, and orderCalls those that order
// a change.
type countingControl struct {
	platform.MemberControl
	statusCalls, orderCalls atomic.Int64
}

// Status counts the call and passes it on.
func (c *countingControl) Status(ctx context.Context, m platform.Member, wait platform.StatusWait) (platform.Status, error) {
	c.statusCalls.Add(1)
	return c.MemberControl.Status(ctx, m, wait)
}

// Fence counts the call and passes it on.
func (c *countingControl) Fence(ctx context.Context, m platform.Member, t platform.Term, by string) (platform.Status, error) {
	c.orderCalls.Add(1)
	return c.MemberControl.Fence(ctx, m, t, by)
}

// Promote counts the call and passes it on.
func (c *countingControl) Promote(ctx context.Context, m platform.Member, t platform.Term, by string) (platform.Status, error) {
	c.orderCalls.Add(1)
	return c.MemberControl.Promote(ctx, m, t, by)
}

// Follow counts the call and passes it on.
func (c *countingControl) Follow(ctx context.Context, m platform.Member, t platform.Term,
	primary platform.Member,
) (platform.Status, error) {
	c.orderCalls.Add(1)
	return c.MemberControl.Follow(ctx, m, t, primary)
}

// promoter is the first promoter of one service. The members of the service run in another process, so that their CPU time
// does not count.
type promoter struct {
	members   *memberProcess
	httpBytes byteCounter
	client    *httpapi.Client
	control   *countingControl
	watcher   *group.Watcher
	failovers chan group.Failover
}

// Promotions measures what a promotion costs the promoter, from the loss of the primary until all other members follow the
// new one: requests, bytes and CPU time, in all and above what idle polls cost in the same time. Sizes are members of the
// service.
func Promotions(ctx context.Context, sizes []int, rounds int) (*Report, error) {
	r := NewReport("promotions", "members of the service")
	r.Notes["bytes"] = "HTTP bytes in both directions, without TCP and IP headers"
	for range rounds {
		for _, memberCount := range sizes {
			values, err := measurePromotions(ctx, memberCount)
			if err != nil {
				return nil, err
			}
			r.Add(float64(memberCount), values)
		}
	}
	r.Finish()
	return r, nil
}

// measurePromotions returns the medians of promotionsPerSize promotions.
func measurePromotions(ctx context.Context, memberCount int) (map[string]float64, error) {
	m, err := startMemberProcess(1, memberCount)
	if err != nil {
		return nil, err
	}
	defer m.stop()
	p := &promoter{members: m, failovers: make(chan group.Failover, 1)}
	p.client = httpapi.New(httpapi.Options{Dial: p.httpBytes.Dial})
	defer p.client.Close()
	p.control = &countingControl{MemberControl: p.client}
	p.watcher = group.New(group.Options{Control: p.control, Self: "promoter", Log: quietLog(),
		OnFailover: func(f group.Failover) { p.failovers <- f }})
	defer p.watcher.Close()
	p.watcher.SetServices([]group.Assignment{{Service: m.services[0], Owners: make([]platform.VM, memberCount)}})
	samples := map[string][]float64{}
	for range promotionsPerSize {
		if err := p.waitFollowing(ctx, ""); err != nil {
			return nil, err
		}
		if err := p.measurePromotion(ctx, samples); err != nil {
			return nil, err
		}
	}
	values := map[string]float64{}
	for name, v := range samples {
		values[name] = quantile(v, 0.5)
	}
	return values, nil
}

// waitFollowing waits until there is a primary other than lostMember and all members except lostMember are reachable and
// follow it.
func (p *promoter) waitFollowing(ctx context.Context, lostMember string) error {
	for deadline := time.Now().Add(promotionTimeout); time.Now().Before(deadline) && ctx.Err() == nil; pause(ctx, promotionPoll) {
		view, _ := p.watcher.View(p.members.services[0].Name)
		following := view.Primary != "" && view.Primary != lostMember
		for _, m := range view.Members {
			hasRole := m.Name == view.Primary || m.Status.Role == platform.RoleReplica
			following = following && (m.Name == lostMember || m.Known && m.Reachable && hasRole && m.Status.LastTerm == view.Term)
		}
		if following {
			return nil
		}
	}
	return errors.Join(errors.New("the members did not follow a primary within the time limit"), ctx.Err())
}

// usedSoFar returns what the promoter has used so far, by the names of the figures.
func (p *promoter) usedSoFar() map[string]float64 {
	return map[string]float64{
		"orders": float64(p.control.orderCalls.Load()), "statuses": float64(p.control.statusCalls.Load()),
		"bytes": p.httpBytes.totalBytes(), "cpu_us": float64(selfCPU().Microseconds()),
	}
}

// measurePromotion cuts the primary off, measures until the other members follow a new one, and then reconnects the old
// primary. It adds the figures to samples.
func (p *promoter) measurePromotion(ctx context.Context, samples map[string][]float64) error {
	view, _ := p.watcher.View(p.members.services[0].Name)
	lostMember := view.Primary
	before, start := p.usedSoFar(), time.Now()
	pause(ctx, promotionIdleTime)
	afterIdle, idleTime := p.usedSoFar(), time.Since(start).Seconds()
	start = time.Now()
	if err := p.setControlOutage(ctx, lostMember, true); err != nil {
		return err
	}
	select {
	case f := <-p.failovers:
		samples["promotion_ms"] = append(samples["promotion_ms"], float64(f.Duration.Microseconds())/1e3)
	case <-time.After(promotionTimeout):
		return errors.New("the lost primary was not replaced within the time limit")
	}
	if err := p.waitFollowing(ctx, lostMember); err != nil {
		return err
	}
	seconds := time.Since(start).Seconds()
	for name, total := range p.usedSoFar() {
		idleRate := (afterIdle[name] - before[name]) / idleTime
		samples[name+" above idle"] = append(samples[name+" above idle"], total-afterIdle[name]-idleRate*seconds)
		samples[name+" in all"] = append(samples[name+" in all"], total-afterIdle[name])
	}
	samples["settled_ms"] = append(samples["settled_ms"], seconds*1e3)
	return p.setControlOutage(ctx, lostMember, false)
}

// setControlOutage starts or ends a fault in which the member leaves control and replication requests without an answer, as
// if it were cut off.
func (p *promoter) setControlOutage(ctx context.Context, memberName string, outage bool) error {
	body, err := json.Marshal(member.Faults{ControlOutage: outage})
	if err != nil {
		return err
	}
	for _, m := range p.members.services[0].Members {
		if m.Name != memberName {
			continue
		}
		req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+m.ControlAddr+member.PathFaults, bytes.NewReader(body))
		if err != nil {
			return err
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return err
		}
		return resp.Body.Close()
	}
	return fmt.Errorf("the service has no member %q", memberName)
}
