package capacity

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/sycamorehub/sycamorehub/emulator/topology"
)

const (
	// targetStatementRate is the number of statements/s that one daemon serves at the target size.
	targetStatementRate = 1313

	callersSettle     = 500 * time.Millisecond // wait after the connections are open
	callersDuration   = 5 * time.Second        // time under load; idle connections are measured for half of it
	dialConcurrency   = 32                     // connections that are opened at the same time
	callerBufferBytes = 1024
	callerTimeout     = 10 * time.Second
)

// Callers measures one daemon with open caller connections: first idle, then with 1,313 statements/s spread over them.
// Sizes are numbers of connections.
func Callers(ctx context.Context, sizes []int) (*Report, error) {
	return callersReport(ctx, "callers", sizes, measureCallers)
}

// ForwardedCallers measures two daemons: callers are connected to one of them, and the other owns the member that all
// their statements need. Sizes are numbers of connections.
func ForwardedCallers(ctx context.Context, sizes []int) (*Report, error) {
	return callersReport(ctx, "callers-forwarded", sizes, measureForwardedCallers)
}

// callersReport calls measure for each number of connections and reports the values.
func callersReport(ctx context.Context, name string, sizes []int,
	measure func(context.Context, int) (map[string]float64, error),
) (*Report, error) {
	r := NewReport(name, "caller connections")
	r.Notes["socket_bytes, where given"] = "buffers of all TCP sockets of the machine, at both ends, including those of other processes"
	for _, connections := range sizes {
		values, err := measure(ctx, connections)
		if err != nil {
			return nil, err
		}
		r.Add(float64(connections), values)
	}
	r.Finish()
	return r, nil
}

// measureCallers measures connections to the daemon that owns the only member.
func measureCallers(ctx context.Context, connections int) (map[string]float64, error) {
	cluster, err := startCluster(ctx, 1, 1)
	if err != nil {
		return nil, err
	}
	defer cluster.close()
	vm, _ := cluster.ownerOfMember(0)
	pid := cluster.Daemon(vm.Name).PID()
	rssBefore, socketsBefore := processRSS(pid), socketMemory()
	conns, err := openCallers(vm.CallerAddr, connections)
	defer closeCallers(conns)
	if err != nil {
		return nil, err
	}
	pause(ctx, callersSettle)
	values := map[string]float64{
		"idle_rss_bytes": processRSS(pid), "idle_rss_growth_bytes": processRSS(pid) - rssBefore, "socket_bytes": socketMemory() - socketsBefore,
	}
	daemonMetrics, err := readMetrics(ctx, vm.AdminAddr)
	if err != nil {
		return nil, err
	}
	values["idle_goroutines"] = daemonMetrics["go_goroutines"]
	before, err := cluster.totalUsage(ctx, vm)
	if err != nil {
		return nil, err
	}
	pause(ctx, callersDuration/2)
	afterIdle, err := cluster.totalUsage(ctx, vm)
	if err != nil {
		return nil, err
	}
	values["idle_cpu_share"] = (afterIdle.cpuSeconds - before.cpuSeconds) / (callersDuration / 2).Seconds()
	start := time.Now()
	answered, err := runAtRate(ctx, conns, targetStatementRate, callersDuration)
	if err != nil {
		return nil, err
	}
	seconds := time.Since(start).Seconds()
	after, err := cluster.totalUsage(ctx, vm)
	if err != nil {
		return nil, err
	}
	values["active_rss_bytes"] = processRSS(pid)
	values["active_statements/s"] = answered / seconds
	values["active_cpu_share"] = (after.cpuSeconds - afterIdle.cpuSeconds) / seconds
	values["active_cpu_us/statement"] = (after.cpuSeconds - afterIdle.cpuSeconds) * 1e6 / answered
	values["active_allocs/statement"] = (after.allocations - afterIdle.allocations) / answered
	return values, nil
}

// measureForwardedCallers measures connections to a daemon that forwards all statements to the owner of the only member.
func measureForwardedCallers(ctx context.Context, connections int) (map[string]float64, error) {
	cluster, err := startCluster(ctx, 2, 1)
	if err != nil {
		return nil, err
	}
	defer cluster.close()
	owner, entry := cluster.ownerOfMember(0)
	conns, err := openCallers(entry.CallerAddr, connections)
	defer closeCallers(conns)
	if err != nil {
		return nil, err
	}
	pause(ctx, callersSettle)
	var before, after [2]resourceUsage
	vms := []topology.EntryVM{entry, owner}
	if err := cluster.usageOfEach(ctx, vms, before[:]); err != nil {
		return nil, err
	}
	start := time.Now()
	answered, err := runAtRate(ctx, conns, targetStatementRate, callersDuration)
	if err != nil {
		return nil, err
	}
	seconds := time.Since(start).Seconds()
	if err := cluster.usageOfEach(ctx, vms, after[:]); err != nil {
		return nil, err
	}
	values := map[string]float64{"statements/s": answered / seconds}
	for i, name := range []string{"entry", "owner"} {
		values[name+"_cpu_share"] = (after[i].cpuSeconds - before[i].cpuSeconds) / seconds
		values[name+"_cpu_us/statement"] = (after[i].cpuSeconds - before[i].cpuSeconds) * 1e6 / answered
		values[name+"_allocs/statement"] = (after[i].allocations - before[i].allocations) / answered
		values[name+"_bytes/statement"] = (after[i].allocatedBytes - before[i].allocatedBytes) / answered
		values[name+"_sleeps/statement"] = (after[i].threadSleeps - before[i].threadSleeps) / answered
		values[name+"_collections/s"] = (after[i].gcCycles - before[i].gcCycles) / seconds
		values[name+"_rss_bytes"] = processRSS(cluster.Daemon(vms[i].Name).PID())
	}
	values["both_cpu_share"] = values["entry_cpu_share"] + values["owner_cpu_share"]
	return values, nil
}

// callerConn is a caller's connection without a driver, which takes so little memory that thousands fit into this process.
type callerConn struct {
	net.Conn
	answer []byte // buffer that holds the answer to the last message
}

// selectOneMessage is the encoded statement that callers run.
var selectOneMessage, _ = (&pgproto3.Query{String: "select 1"}).Encode(nil)

// openCallers opens connections and runs one statement on each. After an error it returns the connections that are open
// too.
func openCallers(addr string, count int) ([]*callerConn, error) {
	conns := make([]*callerConn, count)
	var wg sync.WaitGroup
	var next atomic.Int64
	errs := make(chan error, dialConcurrency)
	for range dialConcurrency {
		wg.Go(func() {
			for i := int(next.Add(1)) - 1; i < count; i = int(next.Add(1)) - 1 {
				c, err := openCaller(addr)
				if err != nil {
					errs <- err
					return
				}
				conns[i] = c
			}
		})
	}
	wg.Wait()
	var open []*callerConn
	for _, c := range conns {
		if c != nil {
			open = append(open, c)
		}
	}
	select {
	case err := <-errs:
		return open, err
	default:
		return open, nil
	}
}

func closeCallers(conns []*callerConn) {
	for _, c := range conns {
		_ = c.Close()
	}
}

// openCaller opens a connection to the first service and runs one statement on it.
func openCaller(addr string) (*callerConn, error) {
	return openCallerWith(addr, map[string]string{"user": "capacity", "database": firstServiceName})
}

// openCallerWith opens a connection with the given parameters of the startup message and runs one statement on it. A
// refused statement is no error: answer then starts with an ErrorResponse.
func openCallerWith(addr string, parameters map[string]string) (*callerConn, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	caller := &callerConn{conn, make([]byte, callerBufferBytes)}
	startup, err := (&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: parameters}).Encode(nil)
	if err == nil {
		err = caller.roundTrip(startup)
	}
	if err == nil {
		err = caller.roundTrip(selectOneMessage)
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return caller, nil
}

// roundTrip sends a message and reads the answer up to ReadyForQuery. It returns an error for an answer that starts with
// an ErrorResponse and does not end with ReadyForQuery when it is first read.
func (c *callerConn) roundTrip(message []byte) error {
	_ = c.SetDeadline(time.Now().Add(callerTimeout))
	if _, err := c.Write(message); err != nil {
		return err
	}
	const readyForQueryBytes = 6 // type, length of four bytes, transaction status
	length := 0
	for {
		read, err := c.Read(c.answer[length:])
		length += read
		switch {
		case err != nil:
			return err
		case length >= readyForQueryBytes && c.answer[length-readyForQueryBytes] == 'Z' && c.answer[length-2] == readyForQueryBytes-1:
			return nil
		case c.answer[0] == 'E':
			return errors.New("the daemon answered with an error: " + string(c.answer[:length]))
		case length == len(c.answer):
			return io.ErrShortBuffer
		}
	}
}

// runAtRate sends rate statements/s for the duration, spread over the connections, and returns how many were answered.
func runAtRate(ctx context.Context, conns []*callerConn, rate float64, duration time.Duration) (float64, error) {
	start := time.Now()
	var wg sync.WaitGroup
	var answered atomic.Int64
	failed := make(chan error, len(conns))
	for i, c := range conns {
		wg.Go(func() {
			for round := 0; ; round++ {
				due := time.Duration(float64(i+round*len(conns)) / rate * float64(time.Second))
				if due > duration || ctx.Err() != nil {
					return
				}
				pause(ctx, time.Until(start.Add(due)))
				if err := c.roundTrip(selectOneMessage); err != nil {
					failed <- err
					return
				}
				answered.Add(1)
			}
		})
	}
	wg.Wait()
	select {
	case err := <-failed:
		return 0, err
	default:
		return float64(answered.Load()), nil
	}
}
