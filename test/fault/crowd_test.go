package fault

import (
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/emulator/launch"
)

// Crowds of callers that nobody controls. The memory of the daemons is limited in the settings of the test, and the bounds on
// memory and descriptors are those of the limit, whatever the speed of the machine.
const (
	crowdMemoryMB    = 192 // the daemon's memory in these tests, and the bound on its peak
	crowdSize        = 24
	crowdDescriptors = 600
	crowdMessage     = 12 << 20 // bytes, below the largest message that the front end takes
)

// crowd holds the connections of callers that misbehave at one daemon.
type crowd struct {
	t     *testing.T
	addr  string
	conns []net.Conn
}

// dial opens a connection and sends what is given; it does not wait until all of it has been taken.
func (c *crowd) dial(data ...[]byte) {
	nc, err := net.Dial("tcp", c.addr)
	if err != nil {
		return // the daemon may refuse connections
	}
	c.conns = append(c.conns, nc)
	go func() {
		for _, part := range data {
			if _, err := nc.Write(part); err != nil {
				return
			}
		}
	}()
}

func (c *crowd) leave() {
	for _, nc := range c.conns {
		_ = nc.Close()
	}
}

// startupPacket returns the startup packet of a session.
func startupPacket(database string) []byte {
	body := []byte("user\x00crowd\x00database\x00" + database + "\x00\x00")
	packet := binary.BigEndian.AppendUint32(nil, uint32(8+len(body)))
	packet = binary.BigEndian.AppendUint32(packet, 3<<16)
	return append(packet, body...)
}

// queryMessage returns a Query message whose text has about n bytes.
func queryMessage(n int) []byte {
	body := append([]byte("select '"), make([]byte, n)...)
	for i := len("select '"); i < len(body); i++ {
		body[i] = 'x'
	}
	body = append(body, "'\x00"...)
	m := binary.BigEndian.AppendUint32([]byte{'Q'}, uint32(4+len(body)))
	return append(m, body...)
}

// peakMemoryMB returns the largest resident memory that a process has had.
func peakMemoryMB(t *testing.T, pid int) int {
	status, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "status"))
	require.NoError(t, err, "the daemon has ended")
	m := regexp.MustCompile(`VmHWM:\s+(\d+) kB`).FindSubmatch(status)
	require.NotNil(t, m)
	kb, err := strconv.Atoi(string(m[1]))
	require.NoError(t, err)
	return kb >> 10
}

func openDescriptors(t *testing.T, pid int) int {
	entries, err := os.ReadDir(filepath.Join("/proc", strconv.Itoa(pid), "fd"))
	require.NoError(t, err, "the daemon has ended")
	return len(entries)
}

// Clients that send large messages, stop half-way, never read or never begin must not end or hang a daemon, must not take more
// memory or descriptors than it has, and must not keep it from serving others. A single large message is served.
func TestCrowdsOfUncontrolledCallers(t *testing.T) {
	large := queryMessage(crowdMessage)
	for name, misbehave := range map[string]func(c *crowd, startup []byte){
		"large messages that stop half-way": func(c *crowd, startup []byte) {
			for range crowdSize {
				c.dial(startup, large[:len(large)-1000])
			}
		},
		"large messages at once": func(c *crowd, startup []byte) {
			for range crowdSize {
				c.dial(startup, large)
			}
		},
		"messages far over the limit": func(c *crowd, startup []byte) {
			for range crowdSize {
				c.dial(startup, []byte{'Q', 0x40, 0, 0, 0}, large, large)
			}
		},
		"messages ahead without reading answers": func(c *crowd, startup []byte) {
			small := queryMessage(4 << 10)
			for range crowdSize {
				parts := [][]byte{startup}
				for range 2000 {
					parts = append(parts, small)
				}
				c.dial(parts...)
			}
		},
		"nobody": func(*crowd, []byte) {},
		"startups that stop half-way": func(c *crowd, startup []byte) {
			for range 20 * crowdSize {
				c.dial(startup[:len(startup)/2])
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := start(t, func(o *launch.Options) {
				o.Settings = func(_ string, settings map[string]any) {
					limits, _ := settings["limits"].(map[string]any)
					if limits == nil {
						limits = map[string]any{}
						settings["limits"] = limits
					}
					limits["memoryMB"], limits["callerConnections"] = crowdMemoryMB, 400
				}
			})
			vm := c.Topology.VMs[0]
			pid := c.Daemon(vm.Name).PID()
			database := c.database
			if database == "" {
				database = c.service().Name
			}
			mob := &crowd{t: t, addr: vm.CallerAddr}
			defer mob.leave()
			misbehave(mob, startupPacket(database))
			time.Sleep(3 * time.Second) // for the crowd to be taken in
			ctx, cancel := callContext(livenessTimeout)
			defer cancel()
			conn, err := c.connect(ctx, vm.Name, "order", nil)
			require.NoError(t, err)
			defer conn.Close(ctx)
			require.NoError(t, execAll(ctx, conn, fmt.Sprintf("INSERT INTO orders (key, value) VALUES ('%s', 'plate')", name)))
			if len(mob.conns) == 0 { // a single large message is served in calm
				require.NoError(t, execAll(ctx, conn, "INSERT INTO orders (key, value) VALUES ('large', '"+strings.Repeat("x", 700<<10)+"')"))
			}
			peak, descriptors := peakMemoryMB(t, pid), openDescriptors(t, pid)
			t.Logf("peak of %d MB, %d descriptors", peak, descriptors)
			require.LessOrEqual(t, peak, crowdMemoryMB)
			require.LessOrEqual(t, descriptors, crowdDescriptors)
		})
	}
}
