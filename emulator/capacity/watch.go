package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/sycamorehub/sycamorehub/emulator/member"
	"github.com/sycamorehub/sycamorehub/pkg/group"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/platform/httpapi"
)

// Times of a measurement of the watch of members.
const (
	watchSettle      = time.Second // time before the measurement for a change of load to take effect
	watchDuration    = 3 * time.Second
	markUsedInterval = 500 * time.Millisecond // between reads of a service, which stays active for 2 s after each
	majorityWindow   = 500 * time.Millisecond // time in which a majority must have answered, for reads
	ackTimeout       = 2 * time.Second        // bounds the wait for the acknowledgement of a write
	writeInterval    = 50 * time.Millisecond  // between writes to a service
)

// ServeMembers runs services with perService members each in this process, writes their description to out, and serves
// until in ends. When it reads the VM of the measured watcher from in, it starts the two other watchers of the services and
// writes the VMs of all three to out. It runs as a process of its own, so that its CPU time does not count.
func ServeMembers(serviceCount, perService int, in io.Reader, out io.Writer) error {
	var services []platform.Service
	for _, s := range fleetServicesOf(serviceCount, targetDataCentres, perService) {
		started, err := member.StartService(s, member.ServiceOptions{})
		if err != nil {
			return err
		}
		defer started.Close()
		services = append(services, started.Info)
	}
	if err := json.NewEncoder(out).Encode(services); err != nil {
		return err
	}
	var self platform.VM
	if err := json.NewDecoder(in).Decode(&self); err != nil {
		return nil // the input has ended: no other watchers are needed
	}
	client := httpapi.New(httpapi.Options{})
	defer client.Close()
	vms, nodes := []platform.VM{self}, []*watchNode{nil}
	for i := 1; i < membersPerService; i++ {
		node, err := startWatchNode(i, client, true)
		if err != nil {
			return err
		}
		defer node.close()
		vms, nodes = append(vms, node.vm), append(nodes, node)
	}
	for i, node := range nodes[1:] {
		node.watchServices(services, vms, i+1)
	}
	if err := json.NewEncoder(out).Encode(vms); err != nil {
		return err
	}
	_, err := io.Copy(io.Discard, in)
	return err
}

// memberProcess is the process that runs ServeMembers.
type memberProcess struct {
	cmd           *exec.Cmd
	stdin         io.WriteCloser
	stdoutDecoder *json.Decoder
	services      []platform.Service
}

// startMemberProcess runs this program's command "members" and reads the description of the services.
func startMemberProcess(services, perService int) (*memberProcess, error) {
	executable, err := os.Executable()
	if err != nil {
		return nil, err
	}
	process := &memberProcess{
		cmd: exec.Command(executable, "members", "--services", fmt.Sprint(services), "--members", fmt.Sprint(perService)),
	}
	process.cmd.Stderr = os.Stderr
	process.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if process.stdin, err = process.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	stdout, err := process.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := process.cmd.Start(); err != nil {
		return nil, err
	}
	process.stdoutDecoder = json.NewDecoder(stdout)
	if err := process.stdoutDecoder.Decode(&process.services); err != nil {
		process.stop()
		return nil, err
	}
	return process, nil
}

// startOtherWatchers starts the two other watchers in the process and returns the VMs of all three, self first.
func (m *memberProcess) startOtherWatchers(self platform.VM) (vms []platform.VM, err error) {
	if err := json.NewEncoder(m.stdin).Encode(self); err != nil {
		return nil, err
	}
	return vms, m.stdoutDecoder.Decode(&vms)
}

// stop ends the process and waits for it.
func (m *memberProcess) stop() {
	_ = m.stdin.Close()
	_ = m.cmd.Wait()
}

// Watch measures what watching members costs a VM when services are idle, are read, and receive 20 writes/s each. Figures
// named "relayed" are for services with three watchers, which ask the primary's owner, and those named "direct" for a watcher
// that polls all members. Relayed writes go to the services whose primary the measured VM owns. Sizes are numbers of
// services of three members. In nine services and multiples of nine the VM has every pair of roles equally often.
func Watch(ctx context.Context, sizes []int, rounds int) (*Report, error) {
	r := NewReport("watch", "members watched")
	r.Notes["bytes"] = "HTTP bytes and bytes between daemons in both directions, without TCP and IP headers"
	for range rounds {
		for _, services := range sizes {
			values := map[string]float64{}
			for _, relays := range []bool{false, true} {
				if err := measureWatch(ctx, services, relays, values); err != nil {
					return nil, err
				}
			}
			r.Add(float64(services*membersPerService), values)
		}
	}
	r.Finish()
	return r, nil
}

// measureWatch measures one watcher, with or without relays, and adds the figures to values.
func measureWatch(ctx context.Context, services int, relays bool, values map[string]float64) error {
	process, err := startMemberProcess(services, membersPerService)
	if err != nil {
		return err
	}
	defer process.stop()
	var httpBytes byteCounter
	client := httpapi.New(httpapi.Options{Dial: httpBytes.Dial})
	defer client.Close()
	memoryBefore := selfMemory()
	node, err := startWatchNode(0, client, relays)
	if err != nil {
		return err
	}
	defer node.close()
	prefix, vms, writtenServices := "direct_", make([]platform.VM, membersPerService), process.services
	if relays {
		if vms, err = process.startOtherWatchers(node.vm); err != nil {
			return err
		}
		prefix, writtenServices = "relayed_", nil
		for i, s := range process.services {
			if primaryOwnerIndex(i) == 0 {
				writtenServices = append(writtenServices, s)
			}
		}
	}
	node.watchServices(process.services, vms, 0)
	pause(ctx, watchSettle+2*time.Second)
	measureWhile(ctx, prefix+"idle", node, &httpBytes, values, func(context.Context) {})
	values[prefix+"memory_bytes"] = selfMemory() - memoryBefore
	measureWhile(ctx, prefix+"reads", node, &httpBytes, values, func(ctx context.Context) {
		markServicesUsed(ctx, node.watcher, process.services)
	})
	return measureWrites(ctx, prefix+"writes", node, writtenServices, &httpBytes, values)
}

// measureWhile runs work, measures for watchDuration after watchSettle, and adds the figures to values. work must return
// when its context ends.
func measureWhile(ctx context.Context, prefix string, node *watchNode, httpBytes *byteCounter,
	values map[string]float64, work func(context.Context),
) {
	ctx, cancel := context.WithTimeout(ctx, watchSettle+watchDuration)
	defer cancel()
	done := make(chan struct{})
	go func() { defer close(done); work(ctx) }()
	pause(ctx, watchSettle)
	cpuBefore, bytesBefore, statsBefore, start := selfCPU(), httpBytes.totalBytes()+node.trafficBytes(), node.watcher.Stats(), time.Now()
	<-ctx.Done()
	seconds := time.Since(start).Seconds()
	values[prefix+"_cpu_us/s"] = float64((selfCPU() - cpuBefore).Microseconds()) / seconds
	values[prefix+"_bytes/s"] = (httpBytes.totalBytes() + node.trafficBytes() - bytesBefore) / seconds
	values[prefix+"_polls/s"] = float64(node.watcher.Stats().Polls-statsBefore.Polls) / seconds
	values[prefix+"_relays/s"] = float64(node.watcher.Stats().Relays-statsBefore.Relays) / seconds
	<-done
}

// markServicesUsed marks all services as used until ctx ends, as reads and writes do.
func markServicesUsed(ctx context.Context, watcher *group.Watcher, services []platform.Service) {
	for ctx.Err() == nil {
		for _, s := range services {
			watcher.MajorityAnswered(s.Name, majorityWindow)
		}
		pause(ctx, markUsedInterval)
	}
}

// measureWrites adds the figures of a watcher during writes. It leaves out the CPU time, since the driver runs in this
// process and would be part of it. The command "proxy" measures the CPU time of whole writes.
func measureWrites(ctx context.Context, prefix string, node *watchNode, services []platform.Service, httpBytes *byteCounter,
	values map[string]float64,
) error {
	var conns []*pgx.Conn
	for _, s := range services {
		conn, err := pgx.Connect(ctx, "postgres://capacity@"+s.Members[0].DataAddr+"/"+s.Name+"?sslmode=disable")
		if err != nil {
			return err
		}
		defer func() { _ = conn.Close(context.Background()) }()
		conns = append(conns, conn)
		if _, err := conn.Exec(ctx, "create table capacity (key text primary key, value text)"); err != nil {
			return err
		}
	}
	measureWhile(ctx, prefix, node, httpBytes, values, func(ctx context.Context) { writeRows(ctx, node.watcher, services, conns) })
	delete(values, prefix+"_cpu_us/s")
	return nil
}

// writeRows writes rows to all services, and waits for the acknowledgement of each, until ctx ends or a write fails.
func writeRows(ctx context.Context, watcher *group.Watcher, services []platform.Service, conns []*pgx.Conn) {
	for row := 0; ctx.Err() == nil; row++ {
		for j, s := range services {
			key := fmt.Sprint(row)
			if _, err := conns[j].Exec(ctx, "insert into capacity (key, value) values ($1, $2)", key, key); err != nil {
				return
			}
			waitAcknowledged(ctx, watcher, s.Name, conns[j])
		}
		pause(ctx, writeInterval)
	}
}

// waitAcknowledged waits at most ackTimeout until the write that the connection made last is acknowledged. The member
// reports the write's term and position in a parameter status.
func waitAcknowledged(ctx context.Context, watcher *group.Watcher, service string, conn *pgx.Conn) {
	var term, position uint64
	if _, err := fmt.Sscanf(conn.PgConn().ParameterStatus("group_position"), "%d/%d", &term, &position); err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	_ = watcher.WaitAcknowledged(ctx, service, platform.Term(term), platform.Position(position))
}
