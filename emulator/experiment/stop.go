package experiment

import (
	"context"
	"fmt"
	"time"

	"github.com/sycamorehub/sycamorehub/emulator/workload"
)

const (
	stopServiceTime = "20ms" // so that requests are in progress when a daemon stops
	stopLead        = 2 * time.Second
	stopTail        = 2 * time.Second
	stopPause       = 100 * time.Millisecond
	exitTimeout     = 40 * time.Second
	stopLimit       = 5 * time.Minute
)

// StopFigures are the figures of one scene of stops.
type StopFigures struct {
	System, Scene string
	Load          string
	Requests      int
	CutOff        int            // requests that ended with their connection or with an unknown outcome
	Errors        map[string]int // all failed requests by SQLSTATE; 57P01 was refused, not run, with the advice to reconnect
	LongestStop   float64        // seconds from SIGTERM to exit
	Ledger        ledger
}

// stops measures what callers notice when one daemon is stopped and not started again, and when each is replaced in turn.
func stops(ctx context.Context, r *runner) (any, error) {
	var out []StopFigures
	for _, system := range r.Systems {
		for _, s := range []struct {
			name string
			do   func(context.Context, *cluster) (time.Duration, error)
		}{{"one planned stop", stopOne}, {"every daemon replaced", replaceAll}} {
			f, err := r.stop(ctx, system, s.do)
			if err != nil {
				return out, fmt.Errorf("%s, %s: %w", system, s.name, err)
			}
			f.Scene = s.name
			fmt.Fprintf(r.Out, "%s, %s (load %s): %d requests, %d cut off, errors %v, longest stop %.1f s, ledger %+v\n",
				system, s.name, f.Load, f.Requests, f.CutOff, f.Errors, f.LongestStop, f.Ledger)
			out = append(out, f)
		}
	}
	return out, nil
}

func (r *runner) stop(ctx context.Context, system string, do func(context.Context, *cluster) (time.Duration, error)) (StopFigures, error) {
	f := StopFigures{System: system, Errors: map[string]int{}}
	c, err := r.start(ctx, system, "--service-time", stopServiceTime)
	if err != nil {
		return f, err
	}
	defer c.close()
	run, end := context.WithCancel(ctx)
	defer end()
	done := make(chan *workload.Result, 1)
	go func() {
		done <- workload.Run(run, workload.Options{
			Addrs: c.callerAddrs(), Database: c.Topology.Services[0].Database, Keys: sessionKeys, Duration: stopLimit, Seed: r.Seed,
			Classes: []workload.Class{
				{Name: r.user.order, Kind: workload.Write, Callers: 12, Pause: stopPause, ReadBack: r.user.confirm},
				{Name: r.user.lookup, Kind: workload.Read, Callers: 12, Pause: stopPause},
				{Name: r.user.batch, Kind: workload.Read, Callers: 12, Pause: stopPause},
			},
		})
	}()
	time.Sleep(stopLead)
	longest, err := do(ctx, c)
	if err != nil {
		return f, err
	}
	time.Sleep(stopTail)
	end()
	res := <-done
	f.LongestStop, f.Load = longest.Seconds(), loadAverage()
	for _, cr := range res.Classes {
		f.Requests += cr.Requests
		for code, n := range cr.Errors {
			f.Errors[code] += n
		}
	}
	f.CutOff = f.Errors[workload.ConnectionLost] + f.Errors[workload.SQLStateUnknown]
	f.Ledger, err = c.ledger(ctx, res)
	return f, err
}

func stopDaemon(c *cluster, vm string) (time.Duration, error) {
	start := time.Now()
	err := c.Daemon(vm).Stop(exitTimeout)
	return time.Since(start), err
}

func stopOne(_ context.Context, c *cluster) (time.Duration, error) {
	return stopDaemon(c, c.Topology.VMs[0].Name)
}

// replaceAll stops each daemon, starts another in its place and waits until that is ready, one VM after another.
func replaceAll(ctx context.Context, c *cluster) (time.Duration, error) {
	var longest time.Duration
	for _, vm := range c.Topology.VMs {
		d, err := stopDaemon(c, vm.Name)
		if err != nil {
			return d, err
		}
		longest = max(longest, d)
		if err := c.StartDaemon(vm.Name); err != nil {
			return longest, err
		}
		if err := c.WaitReady(ctx, vm.Name); err != nil {
			return longest, err
		}
	}
	return longest, nil
}
