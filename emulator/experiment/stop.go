package experiment

import (
	"context"
	"fmt"
	"time"

	"github.com/sycamorehub/sycamorehub/emulator/workload"
)

const (
	stopServiceTime   = "20ms"                 // of a statement, so that requests are in progress when a daemon stops
	loadBeforeStop    = 2 * time.Second        // time under load before the first stop
	loadAfterStop     = 2 * time.Second        // time under load after the last stop
	stopMeanPause     = 100 * time.Millisecond // mean pause of a caller between two requests
	daemonExitTimeout = 40 * time.Second       // a daemon that has not exited by then is killed, and the experiment fails
	stopMaxDuration   = 5 * time.Minute        // longest load of one scene
)

// StopFigures holds the figures of one scene in which daemons are stopped.
type StopFigures struct {
	System, Scene string
	Load          string // the machine's load averages after the run
	Requests      int
	CutOff        int // requests that lost their connection or whose outcome is unknown
	// Errors counts the failed requests by SQLSTATE. 57P01 means that the daemon refused the request without running it
	// and told the caller to reconnect.
	Errors      map[string]int
	LongestStop float64 // seconds from SIGTERM to the exit of the daemon
	Ledger      ledgerCounts
}

// runStops measures what callers notice when one daemon stops and is not replaced, and when all daemons are replaced one
// after another.
func runStops(ctx context.Context, r *runner) (any, error) {
	var out []StopFigures
	for _, system := range r.Systems {
		for _, scene := range []struct {
			name        string
			stopDaemons func(context.Context, *cluster) (time.Duration, error)
		}{{"one planned stop", stopFirst}, {"every daemon replaced", replaceAll}} {
			figures, err := r.measureStops(ctx, system, scene.stopDaemons)
			if err != nil {
				return out, fmt.Errorf("%s, %s: %w", system, scene.name, err)
			}
			figures.Scene = scene.name
			fmt.Fprintf(r.Out, "%s, %s (load %s): %d requests, %d cut off, errors %v, longest stop %.1f s, ledger %+v\n",
				system, scene.name, figures.Load, figures.Requests, figures.CutOff, figures.Errors, figures.LongestStop, figures.Ledger)
			out = append(out, figures)
		}
	}
	return out, nil
}

// measureStops calls stopDaemons on a cluster under load and returns what callers saw. stopDaemons returns how long the
// slowest daemon took to exit.
func (r *runner) measureStops(ctx context.Context, system string, stopDaemons func(context.Context, *cluster) (time.Duration, error)) (StopFigures, error) {
	figures := StopFigures{System: system, Errors: map[string]int{}}
	c, err := r.start(ctx, system, "--service-time", stopServiceTime)
	if err != nil {
		return figures, err
	}
	defer c.close()
	runCtx, endRun := context.WithCancel(ctx)
	defer endRun()
	results := make(chan *workload.Result, 1)
	go func() {
		results <- workload.Run(runCtx, workload.Options{
			Addrs: c.callerAddrs(), Database: c.Topology.Services[0].Database, Keys: sessionKeyCount, Duration: stopMaxDuration, Seed: r.Seed,
			Classes: []workload.Class{
				{Name: r.installation.orderClass, Kind: workload.Write, Callers: 12, Pause: stopMeanPause, ReadBack: r.installation.confirmClass},
				{Name: r.installation.lookupClass, Kind: workload.Read, Callers: 12, Pause: stopMeanPause},
				{Name: r.installation.batchClass, Kind: workload.Read, Callers: 12, Pause: stopMeanPause},
			},
		})
	}()
	time.Sleep(loadBeforeStop)
	longest, err := stopDaemons(ctx, c)
	if err != nil {
		return figures, err
	}
	time.Sleep(loadAfterStop)
	endRun()
	res := <-results
	figures.LongestStop, figures.Load = longest.Seconds(), loadAverages()
	for _, class := range res.Classes {
		figures.Requests += class.Requests
		for code, n := range class.Errors {
			figures.Errors[code] += n
		}
	}
	figures.CutOff = figures.Errors[workload.ConnectionLost] + figures.Errors[workload.SQLStateOutcomeUnknown]
	figures.Ledger, err = c.checkOrders(ctx, res)
	return figures, err
}

// stopDaemon stops the daemon of a VM with SIGTERM and returns how long it took to exit.
func stopDaemon(c *cluster, vm string) (time.Duration, error) {
	start := time.Now()
	err := c.Daemon(vm).Stop(daemonExitTimeout)
	return time.Since(start), err
}

// stopFirst stops the daemon of the first VM.
func stopFirst(_ context.Context, c *cluster) (time.Duration, error) {
	return stopDaemon(c, c.Topology.VMs[0].Name)
}

// replaceAll replaces the daemons one VM after another: it stops the daemon, starts another in its place and waits until
// that one is ready. It returns the longest time from SIGTERM to exit.
func replaceAll(ctx context.Context, c *cluster) (time.Duration, error) {
	var longest time.Duration
	for _, vm := range c.Topology.VMs {
		took, err := stopDaemon(c, vm.Name)
		if err != nil {
			return took, err
		}
		longest = max(longest, took)
		if err := c.StartDaemon(vm.Name); err != nil {
			return longest, err
		}
		if err := c.WaitReady(ctx, vm.Name); err != nil {
			return longest, err
		}
	}
	return longest, nil
}
