package capacity

import (
	"context"
	"strings"
	"sync"
	"time"
)

// Bursts of callers that reconnect. In the fleet of the target size each daemon serves existingCallers. When a data centre
// is lost, 285 more connect to it at once, and 1,177 when a region is lost.
const (
	existingCallers = 3134
	burstWarmUp     = time.Second     // time until the rate of statements is steady
	burstBaseline   = 4 * time.Second // time in which statements are measured before the first burst
	burstRounds     = 8
	// burstWindow is the time from the start of a burst in which the statements of the existing callers are evaluated. A
	// burst is served in less time, so later statements would only hide its effect.
	burstWindow = 250 * time.Millisecond
	burstPause  = time.Second            // after each burst
	burstSettle = 500 * time.Millisecond // wait before figures of a daemon are read
)

// burstConfig is a configuration with one class of each rank.
const burstConfig = `{
  "default": "routine",
  "classes": [
    {"name": "urgent", "rank": "urgent", "access": "read",
      "target": {"latency": "50ms", "reliability": 0.99}, "maxAge": "30s", "repeatable": true},
    {"name": "routine", "rank": "routine", "access": "read",
      "target": {"latency": "250ms", "reliability": 0.99}, "maxAge": "30s", "repeatable": true},
    {"name": "batch", "rank": "batch", "access": "read",
      "target": {"latency": "2s", "reliability": 0.99}, "maxAge": "30s", "repeatable": true},
  ],
}`

// burstClasses are the classes of burstConfig with the latencies of their targets. The existing callers use them in turn.
var burstClasses = []struct {
	name   string
	target time.Duration
}{{"urgent", 50 * time.Millisecond}, {"routine", 250 * time.Millisecond}, {"batch", 2 * time.Second}}

// Bursts measures many caller connections that arrive at one daemon at the same time: at an idle daemon, and at one that
// serves the callers of the target size at 1,313 statements/s, a third of them in each class. Sizes are numbers of
// arriving connections.
func Bursts(ctx context.Context, sizes []int) (*Report, error) {
	r := NewReport("recovery-connections", "connections that arrive at once")
	r.Notes["idle_*"] = "one burst at a daemon without other callers: the slopes of CPU time and memory are the cost of one connection"
	r.Notes["CLASS_*"] = "statements of the existing callers: base before the first burst, burst in the 250 ms after the start of " +
		"each of 8 bursts; served_ms is the largest of the bursts"
	r.Notes["daemon_urgent_*"] = "urgent statements over 51.2 ms in the daemon, and refused ones, in all bursts and the pauses after them"
	for _, connections := range sizes {
		values, err := measureBursts(ctx, connections)
		if err != nil {
			return nil, err
		}
		r.Add(float64(connections), values)
	}
	r.Finish()
	return r, nil
}

// measureBursts measures one burst at an idle daemon, and then bursts at the same daemon under load.
func measureBursts(ctx context.Context, connections int) (map[string]float64, error) {
	cluster, err := startClusterOf(ctx, clusterShape{1, 1, 1, burstConfig})
	if err != nil {
		return nil, err
	}
	defer cluster.close()
	vm, _ := cluster.ownerOfMember(0)
	pid := cluster.Daemon(vm.Name).PID()
	warmUpConns, err := openCallers(vm.CallerAddr, dialConcurrency)
	closeCallers(warmUpConns)
	if err != nil {
		return nil, err
	}
	pause(ctx, burstSettle)
	rssBefore := processRSS(pid)
	cpuBefore, err := processCPU(pid)
	if err != nil {
		return nil, err
	}
	idleBurst := openBurst(vm.CallerAddr, connections)
	pause(ctx, burstSettle)
	cpuAfter, err := processCPU(pid)
	if err != nil {
		return nil, err
	}
	values := map[string]float64{
		"idle_served_ms": idleBurst.servedMs,
		"idle_refused":   idleBurst.refusedConnections, "idle_refused_statements": idleBurst.refusedStatements,
		"idle_cpu_ms": float64((cpuAfter - cpuBefore).Milliseconds()), "idle_rss_growth_bytes": processRSS(pid) - rssBefore,
	}
	idleBurst.close()
	pause(ctx, burstSettle)
	return values, measureBurstsUnderLoad(ctx, vm.CallerAddr, vm.AdminAddr, connections, values)
}

// measureBurstsUnderLoad repeats the burst while the existing callers run statements. It adds the figures of the bursts and
// of these statements to values.
func measureBurstsUnderLoad(ctx context.Context, addr, adminAddr string, connections int, values map[string]float64) error {
	var existing []*pacedCaller
	defer func() {
		for _, caller := range existing {
			_ = caller.Close()
		}
	}()
	for i := range existingCallers {
		class := burstClasses[i%len(burstClasses)].name
		conn, err := openCallerWith(addr, map[string]string{"user": "capacity", "database": firstServiceName, "sycamorehub.class": class})
		if err != nil {
			return err
		}
		existing = append(existing, &pacedCaller{callerConn: conn})
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	start := time.Now()
	for i, caller := range existing {
		wg.Go(func() {
			caller.sendStatements(ctx, start, time.Duration(i)*time.Second/targetStatementRate, existingCallers*time.Second/targetStatementRate)
		})
	}
	pause(ctx, burstWarmUp+burstBaseline)
	before, err := readUrgentCounts(ctx, adminAddr)
	if err != nil {
		return err
	}
	baseline := []timeWindow{{start.Add(burstWarmUp), time.Now()}}
	var bursts []timeWindow
	for range burstRounds {
		arrived := openBurst(addr, connections)
		values["served_ms"] = max(values["served_ms"], arrived.servedMs)
		values["refused"] += arrived.refusedConnections
		values["refused_statements"] += arrived.refusedStatements
		bursts = append(bursts, timeWindow{arrived.start, arrived.start.Add(burstWindow)})
		pause(ctx, time.Until(arrived.start.Add(burstWindow)))
		arrived.close()
		pause(ctx, burstPause)
	}
	after, err := readUrgentCounts(ctx, adminAddr)
	if err != nil {
		return err
	}
	values["daemon_urgent_slow"], values["daemon_urgent_refused"] = after.slow-before.slow, after.refused-before.refused
	cancel()
	wg.Wait()
	for i, class := range burstClasses {
		addClassFigures(values, class.name+"_base", class.target, existing, i, baseline)
		addClassFigures(values, class.name+"_burst", class.target, existing, i, bursts)
	}
	return nil
}

// urgentCounts holds the daemon's own counts of statements of the urgent class, which only existing callers use. slow
// counts those that took longer than 51.2 ms.
type urgentCounts struct{ slow, refused float64 }

// readUrgentCounts reads from the daemon's metrics how many urgent statements were slow or refused. 51.2 ms is the
// histogram bound next to the class's target of 50 ms; the daemon measures from the time when it has read a statement.
func readUrgentCounts(ctx context.Context, adminAddr string) (urgentCounts, error) {
	const metric = "sycamorehub_request_duration_seconds"
	pause(ctx, burstSettle) // until waiting statements have been counted
	values, err := readMetrics(ctx, adminAddr)
	var counts urgentCounts
	for key, v := range values {
		if !strings.Contains(key, `class="urgent"`) {
			continue
		}
		served := strings.Contains(key, `outcome="done"`)
		switch {
		case strings.HasPrefix(key, metric+"_count") && served:
			counts.slow += v
		case strings.HasPrefix(key, metric+"_bucket") && served && strings.Contains(key, `le="0.0512"`):
			counts.slow -= v
		case strings.HasPrefix(key, metric+"_count"):
			counts.refused += v
		}
	}
	return counts, err
}

// timeWindow is a span of time that includes from and excludes to.
type timeWindow struct{ from, to time.Time }

// addClassFigures adds figures of the i-th class to values, for the statements that were due in one of the windows: the
// 99th percentile and the maximum of the latency, the number refused, and the share that missed the target, refused
// statements included. The figure "late" is the delay between the time when a statement was due and the time when this
// program sent it. The callers i, i+3, i+6 and so on belong to the class.
func addClassFigures(values map[string]float64, prefix string, target time.Duration, callers []*pacedCaller, i int, windows []timeWindow) {
	var latencies, delays []float64
	missed, refused, largest := 0, 0, 0.0
	for ; i < len(callers); i += len(burstClasses) {
		for _, statement := range callers[i].statements {
			for _, window := range windows {
				if statement.due.Before(window.from) || !statement.due.Before(window.to) {
					continue
				}
				latencyMs := float64(statement.latency.Microseconds()) / 1e3
				latencies, largest = append(latencies, latencyMs), max(largest, latencyMs)
				delays = append(delays, float64(statement.sendDelay.Microseconds())/1e3)
				if statement.failed {
					refused++
				}
				if statement.failed || statement.latency > target {
					missed++
				}
			}
		}
	}
	values[prefix+"_p99_ms"], values[prefix+"_max_ms"], values[prefix+"_late_p99_ms"] =
		quantile(latencies, 0.99), largest, quantile(delays, 0.99)
	values[prefix+"_missed"], values[prefix+"_refused"] = float64(missed)/float64(max(len(latencies), 1)), float64(refused)
}

// pacedCaller is a caller that sends statements at a steady rate and records each of them.
type pacedCaller struct {
	*callerConn
	statements []timedStatement
}

type timedStatement struct {
	due       time.Time     // time at which it should have been sent
	sendDelay time.Duration // from due until this program sent it
	latency   time.Duration // from sending to the answer
	failed    bool          // the daemon refused it, or the connection failed
}

// sendStatements sends a statement every interval, the first one firstDelay after start, until ctx ends or the connection
// fails.
func (p *pacedCaller) sendStatements(ctx context.Context, start time.Time, firstDelay, interval time.Duration) {
	for due := start.Add(firstDelay); ; due = due.Add(interval) {
		pause(ctx, time.Until(due))
		if ctx.Err() != nil {
			return
		}
		sent := time.Now()
		err := p.roundTrip(selectOneMessage)
		p.statements = append(p.statements, timedStatement{due, sent.Sub(due), time.Since(sent), err != nil || p.answer[0] == 'E'})
		if err != nil {
			return
		}
	}
}

// burstResult is the outcome of one burst.
type burstResult struct {
	start              time.Time
	servedMs           float64 // time from start until the last connection was served or refused
	refusedConnections float64
	refusedStatements  float64 // connections that were accepted and whose first statement was refused
	conns              []*callerConn
}

func (r *burstResult) close() { closeCallers(r.conns) }

// openBurst opens connections at the same time, runs a statement on each and leaves those that succeed open.
func openBurst(addr string, connections int) *burstResult {
	result := &burstResult{start: time.Now()}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range connections {
		wg.Go(func() {
			conn, err := openCaller(addr)
			mu.Lock()
			defer mu.Unlock()
			result.servedMs = float64(time.Since(result.start).Microseconds()) / 1e3
			if err != nil {
				result.refusedConnections++
				return
			}
			if conn.answer[0] == 'E' { // an ErrorResponse: the first statement was refused
				result.refusedStatements++
			}
			result.conns = append(result.conns, conn)
		})
	}
	wg.Wait()
	return result
}
