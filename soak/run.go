package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/sycamorehub/sycamorehub/emulator/demo"
	"github.com/sycamorehub/sycamorehub/emulator/launch"
	"github.com/sycamorehub/sycamorehub/emulator/netfault"
	"github.com/sycamorehub/sycamorehub/emulator/topology"
	"github.com/sycamorehub/sycamorehub/emulator/workload"
	"github.com/sycamorehub/sycamorehub/examples"
	"github.com/sycamorehub/sycamorehub/pkg/admin"
)

const (
	clockFormat     = "15:04:05.000"
	drainLimit      = 10 * time.Second // longer than the deadline of any statement of the callers
	closeLimit      = 5 * time.Second
	memberService   = "2ms"                  // time that each statement takes on a member
	callerPause     = 50 * time.Millisecond  // mean pause of a caller between two requests
	slowPause       = 600 * time.Millisecond // of callers that are idle, or idle in a transaction, when a stop's grace ends
	versionInterval = 50 * time.Millisecond  // between two looks at a VM's configuration version
	recoveryLimit   = 60 * time.Second       // for all VMs to serve again once all faults have ended
	recoveryPause   = 100 * time.Millisecond // between two attempts to use a VM
	callersMaxTime  = 5 * time.Minute        // the callers of a seed end earlier, when it is judged
	ledgerTimeout   = 20 * time.Second
	requestTimeout  = 2 * time.Second // of one request of the soak itself
	dirMode         = 0o755
	fileMode        = 0o600
)

// drainGraces are the values of the setting limits.drainGrace, one of which each seed has.
var drainGraces = []time.Duration{300 * time.Millisecond, 1500 * time.Millisecond}

// run is the run of one seed.
type run struct {
	seed    uint64
	steps   []step
	cluster *launch.Cluster
	network *netfault.Network
	start   time.Time

	mu         sync.Mutex
	requests   []workload.Request
	stops      []stop
	kills      []kill
	versions   versions
	processes  []*launch.Process // all daemons that ran
	vmBusy     map[string]bool   // VMs on which a step is in progress
	log        []string
	notRun     int // steps that failed or were left out for a VM
	configs    int // accepted changes of the configuration
	violations []string
}

// result is what the run of a seed showed.
type result struct {
	seed                 uint64
	steps, notRun        int // notRun counts steps that failed or were left out for a VM
	configs              int // accepted changes of the configuration
	stops, kills         int
	requests, unanswered int
	ledger               workload.Ledger
	violations           []string
	took                 time.Duration
	kept                 string // directory with plan and logs of a failed seed
}

// runSeed runs the programs in binDir under the plan of a seed. It keeps plan and logs in a directory below keepDir if a
// promise was broken, or keepAll is set. An error means that the seed proved nothing.
func runSeed(ctx context.Context, seed uint64, binDir, keepDir string, keepAll bool) (*result, error) {
	r := &run{seed: seed, vmBusy: map[string]bool{}, versions: versions{highest: map[string]uint64{}}}
	dir, err := os.MkdirTemp("", "sycamorehub-soak-seed-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	if err := r.startCluster(ctx, dir, binDir); err != nil {
		return nil, err
	}
	defer func() { r.cluster.Close(); _ = r.network.Close() }()
	r.start = time.Now()
	res, err := r.soak(ctx)
	if err != nil {
		return nil, err
	}
	res.took = time.Since(r.start)
	if len(res.violations) > 0 || keepAll {
		res.kept = filepath.Join(keepDir, fmt.Sprintf("seed-%d", seed))
		err = r.keep(res)
	}
	return res, err
}

// startCluster starts one service of the Kitakata installation. The seed chooses which, and thereby where its first primary
// is.
func (r *run) startCluster(ctx context.Context, dir, binDir string) error {
	topo, err := topology.Kitakata()
	if err != nil {
		return err
	}
	i := int(r.seed % uint64(len(topo.Services)))
	topo.Services = topo.Services[i : i+1]
	if r.network, err = netfault.New(topo); err != nil {
		return err
	}
	limits := map[string]any{"drain": drainLimit.String(), "close": closeLimit.String(),
		"drainGrace": drainGraces[r.seed/2%uint64(len(drainGraces))].String()}
	r.cluster, err = launch.Start(ctx, launch.Options{Dir: dir, BinDir: binDir, Topology: topo, Network: r.network, Config: examples.Kitakata,
		MemberArgs: []string{"--service-time", memberService}, LogLevel: "info",
		Settings: func(_ string, s map[string]any) { s["limits"] = limits }})
	if err != nil {
		return errors.Join(err, r.network.Close())
	}
	w := world{}
	for _, vm := range topo.VMs {
		w.vms = append(w.vms, vm.Name)
		r.processes = append(r.processes, r.cluster.Daemon(vm.Name))
	}
	for _, m := range topo.Services[0].Members {
		w.dataCentres = append(w.dataCentres, m.DataCentre)
	}
	r.steps = plan(r.seed, w)
	return nil
}

// soak runs callers and steps, waits until the system serves again, and judges.
func (r *run) soak(ctx context.Context) (*result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var watch sync.WaitGroup
	watch.Go(func() { r.watchVersions(ctx) })
	endCallers := r.startCallers(ctx)
	r.runSteps(ctx)
	r.awaitRecovery(ctx)
	orders := endCallers()
	cancel()
	watch.Wait()
	if err := context.Cause(ctx); err != nil && !errors.Is(err, context.Canceled) {
		return nil, err
	}
	return r.judge(orders)
}

// startCallers starts callers that a balancer spreads over the VMs, and three per VM that connect to no other. The function
// that it returns ends them and returns their orders.
func (r *run) startCallers(ctx context.Context) func() *workload.Result {
	ctx, cancel := context.WithCancel(ctx)
	all := demo.CallerAddrs(r.cluster.Topology)
	write := workload.Class{Name: "order", Kind: workload.Write, Callers: 4, Pause: callerPause, ReadBack: "confirm", ReadBackAfterReconnect: true}
	transaction := workload.Class{Name: "record", Kind: workload.Transaction, Callers: 4, Pause: callerPause, ReadBack: "confirm", ReadBackAfterReconnect: true}
	read := workload.Class{Name: "lookup", Kind: workload.Read, Callers: 4, Pause: callerPause}
	addrs, classes := [][]string{all}, [][]workload.Class{{write, transaction, read}}
	slow := transaction
	slow.Callers, slow.Pause, slow.StatementPause = 1, slowPause, slowPause
	for _, addr := range all {
		write.Callers, transaction.Callers = 1, 1
		addrs, classes = append(addrs, []string{addr}), append(classes, []workload.Class{write, transaction, slow})
	}
	results := make([]*workload.Result, len(addrs))
	var wg sync.WaitGroup
	for i := range addrs {
		wg.Go(func() {
			results[i] = workload.Run(ctx, workload.Options{Addrs: addrs[i], Database: r.cluster.Topology.Services[0].Name, Classes: classes[i],
				Duration: callersMaxTime, Seed: r.seed*uint64(len(addrs)) + uint64(i), OnRequest: r.addRequest})
		})
	}
	return func() *workload.Result {
		cancel()
		wg.Wait()
		merged := &workload.Result{}
		for _, res := range results {
			merged.Orders = append(merged.Orders, res.Orders...)
		}
		return merged
	}
}

func (r *run) addRequest(req workload.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, req)
}

func (r *run) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.log = append(r.log, time.Now().Format(clockFormat)+" "+fmt.Sprintf(format, args...))
}

// skipf notes a step that was not run as planned.
func (r *run) skipf(format string, args ...any) {
	r.logf(format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notRun++
}

func (r *run) violationf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// watchVersions looks at the configuration version of each VM until ctx ends.
func (r *run) watchVersions(ctx context.Context) {
	var wg sync.WaitGroup
	for _, vm := range r.cluster.Topology.VMs {
		wg.Go(func() {
			for ctx.Err() == nil {
				var status admin.Status
				if callJSON(ctx, http.MethodGet, "http://"+vm.AdminAddr+"/v1/status", nil, &status) == nil {
					r.mu.Lock()
					r.versions.show(vm.Name, status.ConfigVersion, time.Now())
					r.mu.Unlock()
				}
				pause(ctx, versionInterval)
			}
		})
	}
	wg.Wait()
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// awaitRecovery waits until every VM has acknowledged a write and has the accepted configuration in force.
func (r *run) awaitRecovery(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, recoveryLimit)
	defer cancel()
	for _, vm := range r.cluster.Topology.VMs {
		if err := r.cluster.WaitReady(ctx, vm.Name); err != nil {
			r.violationf("no recovery: %v", err)
			continue
		}
		err := r.probe(ctx, vm)
		for ; err != nil && ctx.Err() == nil; err = r.probe(ctx, vm) {
			pause(ctx, recoveryPause)
		}
		if err != nil {
			r.violationf("no recovery: %s acknowledges no write: %v", vm.Name, err)
		}
		for !r.hasAccepted(vm.Name) && ctx.Err() == nil {
			pause(ctx, recoveryPause)
		}
		if !r.hasAccepted(vm.Name) {
			r.violationf("the accepted configuration is not in force on %s", vm.Name)
		}
	}
}

// hasAccepted reports whether the VM shows the highest accepted configuration.
func (r *run) hasAccepted(vm string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.versions.highest[vm] >= r.versions.accepted
}

// probe inserts a row through a VM.
func (r *run) probe(ctx context.Context, vm topology.EntryVM) error {
	conn, err := pgx.Connect(ctx, fmt.Sprintf("postgres://probe@%s/%s?sslmode=disable&sycamorehub.class=order", vm.CallerAddr,
		r.cluster.Topology.Services[0].Name))
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close(context.WithoutCancel(ctx)) }()
	_, err = conn.Exec(ctx, "INSERT INTO orders (key, value) VALUES ($1, 'probe')", fmt.Sprintf("probe-%s-%d", vm.Name, time.Now().UnixNano()))
	return err
}

// judge compares everything that was seen with the promises.
func (r *run) judge(orders *workload.Result) (*result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), ledgerTimeout)
	defer cancel()
	primaries, err := demo.Primaries(ctx, r.cluster)
	if err != nil {
		return nil, err
	}
	ledger, err := orders.Check(ctx, primaries)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	res := &result{seed: r.seed, steps: len(r.steps), notRun: r.notRun, configs: r.configs, stops: len(r.stops), kills: len(r.kills), requests: len(r.requests), ledger: *ledger}
	for _, req := range r.requests {
		if req.Err != nil && workload.ErrorCode(req.Err) == workload.ConnectionLost {
			res.unanswered++
		}
	}
	for _, s := range r.stops {
		if broken := judgeStop(s, drainLimit+closeLimit); broken != "" {
			r.violations = append(r.violations, broken)
		}
	}
	res.violations = slices.Concat(r.violations, judgeRequests(r.requests, r.stops, r.kills), judgeLedger(orders.Orders, ledger), r.versions.reverts)
	return res, nil
}

// keep writes plan, violations and logs of a failed seed.
func (r *run) keep(res *result) error {
	if err := os.MkdirAll(res.kept, dirMode); err != nil {
		return err
	}
	files := map[string][]string{"violations.txt": res.violations, "log.txt": r.log}
	for _, s := range r.steps {
		files["plan.txt"] = append(files["plan.txt"], s.String())
	}
	for _, vm := range r.cluster.Topology.VMs {
		r.log = append(r.log, vm.Name+" "+vm.CallerAddr)
	}
	files["log.txt"] = r.log
	for i, p := range r.processes {
		files[fmt.Sprintf("%s-%d.log", p.Name, i)] = []string{fmt.Sprintf("pid %d", p.PID()), p.Output()}
	}
	for _, p := range r.cluster.Members {
		files[p.Name+".log"] = []string{p.Output()}
	}
	for name, lines := range files {
		text := ""
		for _, line := range lines {
			text += line + "\n"
		}
		if err := os.WriteFile(filepath.Join(res.kept, name), []byte(text), fileMode); err != nil {
			return err
		}
	}
	return nil
}

// callJSON sends a request, with in as JSON unless it is nil, and decodes the answer into out unless it is nil.
func callJSON(ctx context.Context, method, url string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("%s %s answered %s", method, url, resp.Status)
	}
	if out == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(out)
}
