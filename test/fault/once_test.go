package fault

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/emulator/netfault"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// keyedCaller orders plates with an idempotency key, and repeats each order through any entry VM until it gets an
// answer. Each attempt inserts a row with its own key, so that an order that ran twice leaves two rows.
type keyedCaller struct {
	callerSession
	keyPrefix string
	vms       []string
	random    *rand.Rand

	answered   atomic.Int64 // orders that ended
	repeated   atomic.Int64 // attempts that repeat an order because the outcome of the attempt before is unknown
	violations []string
}

func (k *keyedCaller) run(stop <-chan struct{}) {
	defer k.close()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		if err := k.orderUntilAnswered(fmt.Sprintf("%s-%d", k.keyPrefix, n)); err != nil {
			k.violations = append(k.violations, err.Error())
		}
		k.answered.Add(1)
	}
}

// orderUntilAnswered repeats one order until it is acknowledged. It does not stop when the test ends, so each order gets
// an answer.
func (k *keyedCaller) orderUntilAnswered(id string) error {
	unknown := false
	for attempt, begin := 0, time.Now(); ; attempt++ {
		if time.Since(begin) > livenessTimeout {
			return fmt.Errorf("order %s got no answer in time", id)
		}
		if unknown {
			k.repeated.Add(1)
		}
		tag, err := k.attempt(id, attempt)
		switch {
		case err == nil && tag == "INSERT 0 1":
			return nil
		case err == nil:
			return fmt.Errorf("order %s was answered with %q", id, tag)
		case errors.Is(err, errNotSent), code(err) == codeCannotConnectNow, code(err) == codeOverload, code(err) == codeDraining:
		case code(err) == "" || code(err) == codeOutcomeUnknown:
			unknown = true
		default:
			return fmt.Errorf("order %s failed: %w", id, err)
		}
		time.Sleep(reconnectDelay)
		k.roam(k.vms[k.random.IntN(len(k.vms))])
	}
}

// attempt sends the order once and returns the command tag.
func (k *keyedCaller) attempt(id string, attempt int) (tag string, err error) {
	if _, err := k.callerSession.run("order", "SET sycamorehub.idempotency_key = '"+id+"'", callTimeout); err != nil {
		return "", fmt.Errorf("%w: %w", errNotSent, err)
	}
	res, err := k.callerSession.run("order", fmt.Sprintf("INSERT INTO orders (key, value) VALUES ('%s/%d', '%s')", id, attempt, id), callTimeout)
	if err != nil {
		return "", err
	}
	return res[0].CommandTag.String(), nil
}

// orderFault is a kind of failure during which orders are sent. inject injects it again and again until stop is closed.
type orderFault struct {
	name   string
	inject func(c *cluster, random *rand.Rand, stop <-chan struct{})
}

// injectFor injects the failure for the given time.
func (f orderFault) injectFor(d time.Duration, c *cluster, seed uint64) {
	stop := make(chan struct{})
	timer := time.AfterFunc(d, func() { close(stop) })
	defer timer.Stop()
	f.inject(c, randomStream(seed, -1), stop)
}

// repeatUntil calls f after each pause until stop is closed.
func repeatUntil(pause time.Duration, stop <-chan struct{}, f func()) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(pause):
			f()
		}
	}
}

// killVMs kills random entry VMs, among them owners of members, one at a time, and starts each one again.
func killVMs(c *cluster, random *rand.Rand, stop <-chan struct{}) {
	vms := c.vmsExcept()
	repeatUntil(300*time.Millisecond, stop, func() {
		vm := vms[random.IntN(len(vms))]
		c.Daemon(vm).Kill()
		time.Sleep(100 * time.Millisecond)
		if err := c.StartDaemon(vm); err != nil {
			c.t.Errorf("restart of %s: %v", vm, err)
			return
		}
		if err := c.WaitReady(context.Background(), vm); err != nil {
			c.t.Errorf("restart of %s: %v", vm, err)
		}
	})
}

// resetLinks repeatedly closes the connections between two random data centres.
func resetLinks(c *cluster, random *rand.Rand, stop <-chan struct{}) {
	repeatUntil(30*time.Millisecond, stop, func() { c.applyToRandomLinks(random, (*netfault.Link).Reset) })
}

// applyToRandomLinks applies f to the links in both directions between two random data centres.
func (c *cluster) applyToRandomLinks(random *rand.Rand, f func(*netfault.Link)) {
	var dcs []string
	for _, m := range c.service().Members {
		dcs = append(dcs, m.DataCentre)
	}
	random.Shuffle(len(dcs), func(i, j int) { dcs[i], dcs[j] = dcs[j], dcs[i] })
	f(c.network.Link(dcs[0], dcs[1]))
	f(c.network.Link(dcs[1], dcs[0]))
}

// losePrimary cuts the primary off, waits for another one, resets connections so that outcomes of orders are unknown,
// and then lets the old primary return.
func losePrimary(c *cluster, random *rand.Rand, stop <-chan struct{}) {
	old, _ := c.primary()
	c.network.Isolate(old.DataCentre)
	c.awaitNewPrimary(old)
	resetLinks(c, random, stop)
	c.network.Rejoin(old.DataCentre)
}

// orderFaults are the failures during which TestKeyedOrdersRunOnce and TestUnkeyedOrdersRunAtMostOnce send orders.
var orderFaults = []orderFault{
	{"entry VMs killed", killVMs},
	{"connections reset", resetLinks},
	{"primary cut off and connections reset", losePrimary},
	{"entry VMs killed and connections reset", func(c *cluster, random *rand.Rand, stop <-chan struct{}) {
		var wg sync.WaitGroup
		resetRandom := randomStream(random.Uint64(), 1)
		wg.Go(func() { resetLinks(c, resetRandom, stop) })
		killVMs(c, random, stop)
		wg.Wait()
	}},
	{"connections reset in a flood of urgent work", func(c *cluster, random *rand.Rand, stop <-chan struct{}) {
		startUrgentFlood(c, platform.Member{})
		resetLinks(c, random, stop)
		c.endFlood()
	}},
	{"connections reset while two operators act", func(c *cluster, random *rand.Rand, stop <-chan struct{}) {
		primary, _ := c.primary()
		raceOperatorsUntilEnd(c, primary)
		resetLinks(c, random, stop)
	}},
	{"entry VMs killed while the store is slow", func(c *cluster, random *rand.Rand, stop <-chan struct{}) {
		slowPlatform(c, platform.Member{})
		killVMs(c, random, stop)
	}},
	{"primary cut off and connections reset while store answers are lost", func(c *cluster, random *rand.Rand, stop <-chan struct{}) {
		loseStoreAnswers(c, platform.Member{})
		losePrimary(c, random, stop)
	}},
}

// orderFaultDuration is how long callers send orders under a failure.
const orderFaultDuration = 5 * time.Second

// TestKeyedOrdersRunOnce covers orders with an idempotency key while entry VMs are killed, connections are reset, the
// primary is cut off, the store is slow or loses answers, urgent work floods the members, or two operators act. If the
// outcome of an order is unknown, its caller repeats it until it gets an answer. The answer must be success, and the
// order must have exactly one row.
func TestKeyedOrdersRunOnce(t *testing.T) {
	for i, f := range orderFaults {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			c := start(t, nil)
			seed := seedOr(uint64(i + 1))
			t.Logf("seed %d", seed)
			run, end := c.startBackground()
			var callers []*keyedCaller
			for n, vm := range c.vmsExcept() {
				caller := &keyedCaller{callerSession: callerSession{cluster: c, vm: vm}, keyPrefix: fmt.Sprintf("k%d", n), vms: c.vmsExcept(), random: randomStream(seed, n)}
				callers = append(callers, caller)
				run(caller.run)
			}
			f.injectFor(orderFaultDuration, c, seed)
			end()
			c.checkOneRowPerOrder(callers)
		})
	}
}

// checkOneRowPerOrder requires exactly one row for each acknowledged order.
func (c *cluster) checkOneRowPerOrder(callers []*keyedCaller) {
	c.t.Helper()
	rowsPerOrder := map[string]int{}
	for key := range c.storedKeys() {
		id, _, _ := strings.Cut(key, "/")
		rowsPerOrder[id]++
	}
	answered, repeated := int64(0), int64(0)
	for _, caller := range callers {
		require.Empty(c.t, caller.violations)
		for n := range caller.answered.Load() {
			id := fmt.Sprintf("%s-%d", caller.keyPrefix, n)
			require.Equal(c.t, 1, rowsPerOrder[id], "number of rows of order %s", id)
		}
		answered += caller.answered.Load()
		repeated += caller.repeated.Load()
	}
	c.t.Logf("%d orders answered, %d attempts that repeated an order after an unknown outcome", answered, repeated)
	require.Positive(c.t, repeated, "no attempt had an unknown outcome, so no order was repeated and the test proves nothing")
}

// TestUnkeyedOrdersRunAtMostOnce covers orders without a key, which the system must never send twice, under the
// failures in orderFaults. A second run would conflict with the row of the first one and be refused although the row
// exists. checkLedger finds this.
func TestUnkeyedOrdersRunAtMostOnce(t *testing.T) {
	for i, f := range orderFaults {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			c := start(t, nil)
			seed := seedOr(uint64(i + 1))
			t.Logf("seed %d", seed)
			writers := c.startWritersOf("order", c.vmsExcept())
			f.injectFor(orderFaultDuration, c, seed)
			c.checkLedger(stopWriters(writers))
		})
	}
}
