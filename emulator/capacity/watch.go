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

const (
	watchSettle  = time.Second
	watchSpan    = 3 * time.Second
	useInterval  = 500 * time.Millisecond // of the reads that keep a service active; it is active for 2 s
	majorityTime = 500 * time.Millisecond
	ackLimit     = 2 * time.Second
	writePause   = 50 * time.Millisecond
)

// ServeMembers runs services with a number of members each in this process, prints their description and serves until in ends. When
// it reads a VM, it starts the two other watchers of the services and prints their VMs. It runs as a process of its own,
// so that its CPU time does not count.
func ServeMembers(services, perService int, in io.Reader, out io.Writer) error {
	var list []platform.Service
	for _, s := range fleetServicesOf(services, targetDataCentres, perService) {
		started, err := member.StartService(s, member.ServiceOptions{})
		if err != nil {
			return err
		}
		defer started.Close()
		list = append(list, started.Info)
	}
	if err := json.NewEncoder(out).Encode(list); err != nil {
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
		n, err := startWatchNode(i, client, true)
		if err != nil {
			return err
		}
		defer n.close()
		vms, nodes = append(vms, n.vm), append(nodes, n)
	}
	for i, n := range nodes[1:] {
		n.watch(list, vms, i+1)
	}
	if err := json.NewEncoder(out).Encode(vms); err != nil {
		return err
	}
	_, err := io.Copy(io.Discard, in)
	return err
}

// members is the process that runs ServeMembers.
type members struct {
	cmd      *exec.Cmd
	in       io.WriteCloser
	out      *json.Decoder
	services []platform.Service
}

func startMembers(services, perService int) (*members, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	m := &members{cmd: exec.Command(self, "members", "--services", fmt.Sprint(services), "--members", fmt.Sprint(perService))}
	m.cmd.Stderr = os.Stderr
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if m.in, err = m.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := m.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := m.cmd.Start(); err != nil {
		return nil, err
	}
	m.out = json.NewDecoder(out)
	if err := m.out.Decode(&m.services); err != nil {
		m.stop()
		return nil, err
	}
	return m, nil
}

// otherWatchers starts the two other watchers and returns all three VMs, self first.
func (m *members) otherWatchers(self platform.VM) (vms []platform.VM, err error) {
	if err := json.NewEncoder(m.in).Encode(self); err != nil {
		return nil, err
	}
	return vms, m.out.Decode(&vms)
}

func (m *members) stop() {
	_ = m.in.Close()
	_ = m.cmd.Wait()
}

// Watch measures what the watch of members costs a VM, idle, with reads and with 20 writes/s to each service: with three
// watchers of each service that ask their lead ("relayed"), and for a watcher that polls all members ("direct").
// Relayed writes go to the services whose lead is the measured VM. Sizes are services of three members; nine and
// multiples of nine hold every pair of roles equally often.
func Watch(ctx context.Context, sizes []int, rounds int) (*Report, error) {
	r := NewReport("watch", "members watched")
	r.Notes["bytes"] = "HTTP bytes and bytes between daemons in both directions, without TCP and IP headers"
	for range rounds {
		for _, n := range sizes {
			values := map[string]float64{}
			for _, relays := range []bool{false, true} {
				if err := measureWatch(ctx, n, relays, values); err != nil {
					return nil, err
				}
			}
			r.Add(float64(n*membersPerService), values)
		}
	}
	r.Finish()
	return r, nil
}

func measureWatch(ctx context.Context, services int, relays bool, out map[string]float64) error {
	m, err := startMembers(services, membersPerService)
	if err != nil {
		return err
	}
	defer m.stop()
	var bytes wireCounter
	client := httpapi.New(httpapi.Options{Dial: bytes.Dial})
	defer client.Close()
	empty := selfMemory()
	n, err := startWatchNode(0, client, relays)
	if err != nil {
		return err
	}
	defer n.close()
	name, vms, written := "direct_", make([]platform.VM, membersPerService), m.services
	if relays {
		if vms, err = m.otherWatchers(n.vm); err != nil {
			return err
		}
		name, written = "relayed_", nil
		for i, s := range m.services {
			if leads(i) == 0 {
				written = append(written, s)
			}
		}
	}
	n.watch(m.services, vms, 0)
	pause(ctx, watchSettle+2*time.Second)
	span(ctx, name+"idle", n, &bytes, out, func(context.Context) {})
	out[name+"memory_bytes"] = selfMemory() - empty
	span(ctx, name+"reads", n, &bytes, out, func(ctx context.Context) { useAll(ctx, n.watcher, m.services) })
	return measureWrites(ctx, name+"writes", n, written, &bytes, out)
}

// span measures for watchSpan while work runs.
func span(ctx context.Context, name string, n *watchNode, b *wireCounter, out map[string]float64, work func(context.Context)) {
	ctx, cancel := context.WithTimeout(ctx, watchSettle+watchSpan)
	defer cancel()
	done := make(chan struct{})
	go func() { defer close(done); work(ctx) }()
	pause(ctx, watchSettle)
	cpu, total, before, start := selfCPU(), b.total()+n.bytes(), n.watcher.Stats(), time.Now()
	<-ctx.Done()
	s := time.Since(start).Seconds()
	out[name+"_cpu_us/s"] = float64((selfCPU() - cpu).Microseconds()) / s
	out[name+"_bytes/s"] = (b.total() + n.bytes() - total) / s
	out[name+"_polls/s"] = float64(n.watcher.Stats().Polls-before.Polls) / s
	out[name+"_relays/s"] = float64(n.watcher.Stats().Relays-before.Relays) / s
	<-done
}

// useAll marks all services as used, as reads and writes do.
func useAll(ctx context.Context, w *group.Watcher, services []platform.Service) {
	for ctx.Err() == nil {
		for _, s := range services {
			w.MajorityAnswered(s.Name, majorityTime)
		}
		pause(ctx, useInterval)
	}
}

// measureWrites adds the cost of writes. The driver runs in this process and is part of the CPU time, so that is left
// out: the proxy command measures whole writes.
func measureWrites(ctx context.Context, name string, n *watchNode, services []platform.Service, b *wireCounter,
	out map[string]float64,
) error {
	var conns []*pgx.Conn
	for _, s := range services {
		c, err := pgx.Connect(ctx, "postgres://capacity@"+s.Members[0].DataAddr+"/"+s.Name+"?sslmode=disable")
		if err != nil {
			return err
		}
		defer func() { _ = c.Close(context.Background()) }()
		conns = append(conns, c)
		if _, err := c.Exec(ctx, "create table capacity (key text primary key, value text)"); err != nil {
			return err
		}
	}
	span(ctx, name, n, b, out, func(ctx context.Context) { writeAll(ctx, n.watcher, services, conns) })
	delete(out, name+"_cpu_us/s")
	return nil
}

func writeAll(ctx context.Context, w *group.Watcher, services []platform.Service, conns []*pgx.Conn) {
	for i := 0; ctx.Err() == nil; i++ {
		for j, s := range services {
			key := fmt.Sprint(i)
			if _, err := conns[j].Exec(ctx, "insert into capacity (key, value) values ($1, $2)", key, key); err != nil {
				return
			}
			acknowledge(ctx, w, s.Name, conns[j])
		}
		pause(ctx, writePause)
	}
}

// acknowledge waits for the write that the connection made last.
func acknowledge(ctx context.Context, w *group.Watcher, service string, c *pgx.Conn) {
	var term, position uint64
	if _, err := fmt.Sscanf(c.PgConn().ParameterStatus("group_position"), "%d/%d", &term, &position); err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, ackLimit)
	defer cancel()
	_ = w.WaitAcknowledged(ctx, service, platform.Term(term), platform.Position(position))
}
