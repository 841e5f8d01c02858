// Package workload runs callers against entry VMs with an unmodified driver and counts what was served. Every order
// has its own key, so that a ledger can be compared with the database afterwards. It never repeats a request,
// so that each failure is counted, and is not part of the product.
package workload

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
)

// SQLStateOutcomeUnknown is the SQLSTATE of a request whose outcome is unknown.
const SQLStateOutcomeUnknown = "08007"

// Kind is what a class of work does in the workload.
type Kind uint8

// Kinds of work.
const (
	Read Kind = iota
	Write
)

// Class describes the load of one class of work.
type Class struct {
	Name    string
	Kind    Kind
	Callers int           // callers that run at once, each in its own session
	Pause   time.Duration // mean pause of a caller between requests; exponential
	// FixedRate counts the pause from the start of the request before, so that slow answers do not lower the rate as long
	// as callers are free: the load that a flood must not displace.
	FixedRate bool
	// AskMember makes reads, and the reads back of a writing class, ask which member serves them.
	AskMember bool
	// ReadBack is the read class in which a writing caller reads its own row back after each acknowledged write; empty
	// for none.
	ReadBack string
}

// Options of a run.
type Options struct {
	Addrs    []string // entry VMs; each caller is given one, as by a balancer
	Database string
	Keys     int // session keys, spread over the services of the database; 0: none
	Classes  []Class
	Duration time.Duration
	Warmup   time.Duration // requests that begin earlier are not counted in the classes
	Seed     uint64
	OnOrder  func(Order) // called after each order; nil for none
}

// Run drives all callers until the duration has passed.
func Run(ctx context.Context, opts Options) *Result {
	ctx, cancel := context.WithTimeout(ctx, opts.Duration)
	defer cancel()
	start := time.Now()
	collected := &collector{result: &Result{Classes: map[string]*ClassResult{}}, countFrom: start.Add(opts.Warmup)}
	var wg sync.WaitGroup
	callerID := 0
	for _, class := range opts.Classes {
		for _, name := range []string{class.Name, class.ReadBack} {
			if name != "" && collected.result.Classes[name] == nil {
				collected.result.Classes[name] = &ClassResult{Errors: map[string]int{}, ByMember: map[string]int{}}
			}
		}
		for range class.Callers {
			c := &caller{opts: opts, class: class, id: callerID, collector: collected, rng: rand.New(rand.NewPCG(opts.Seed, uint64(callerID)))}
			callerID++
			wg.Go(func() { c.run(ctx) })
		}
	}
	wg.Wait()
	collected.result.Elapsed = opts.Duration - opts.Warmup
	for _, classResult := range collected.result.Classes {
		sort.Slice(classResult.Latencies, func(i, j int) bool { return classResult.Latencies[i] < classResult.Latencies[j] })
	}
	return collected.result
}

// caller is one session that issues requests of one class.
type caller struct {
	opts      Options
	class     Class
	id        int
	collector *collector
	rng       *rand.Rand
	conn      *pgx.Conn
	addr      string
	token     string // last session token, passed on when the session moves to another entry VM
	lastRow   int
}

func (c *caller) sessionKey() string {
	if c.opts.Keys == 0 {
		return ""
	}
	return fmt.Sprintf("k%d", c.id%c.opts.Keys)
}

func (c *caller) run(ctx context.Context) {
	defer c.disconnect()
	next := time.Now()
	for ctx.Err() == nil {
		if c.conn == nil && !c.connect(ctx) {
			continue
		}
		if !c.class.FixedRate {
			next = time.Now()
		}
		c.request(ctx)
		next = next.Add(time.Duration(c.rng.ExpFloat64() * float64(c.class.Pause)))
		sleep(ctx, time.Until(next))
	}
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

const (
	connectTimeout = 5 * time.Second
	connectPause   = 50 * time.Millisecond
	requestTimeout = 45 * time.Second
)

func (c *caller) connect(ctx context.Context) bool {
	c.addr = c.opts.Addrs[c.rng.IntN(len(c.opts.Addrs))]
	config, err := pgx.ParseConfig(fmt.Sprintf("postgres://caller@%s/%s?sslmode=disable", c.addr, c.opts.Database))
	if err != nil {
		return false
	}
	config.ConnectTimeout = connectTimeout
	config.RuntimeParams["sycamorehub.class"] = c.class.Name
	if c.token != "" {
		config.RuntimeParams["sycamorehub.token"] = c.token
	}
	if key := c.sessionKey(); key != "" {
		config.RuntimeParams["sycamorehub.key"] = key
	}
	c.conn, err = pgx.ConnectConfig(ctx, config)
	if err != nil {
		c.conn = nil
		sleep(ctx, connectPause)
	}
	return err == nil
}

func (c *caller) disconnect() {
	if c.conn != nil {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = c.conn.Close(ctx)
		c.conn = nil
	}
}

// request issues one request. It is not bound to the end of the run, so that a request in progress is not counted as
// a failure of the system.
func (c *caller) request(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), requestTimeout)
	defer cancel()
	start := time.Now()
	var err error
	if c.class.Kind == Write {
		err = c.write(ctx)
	} else {
		err = c.read(ctx)
	}
	c.collector.addRequest(c.class.Name, err, start)
	if err == nil && c.class.ReadBack != "" {
		c.readBack(ctx)
	}
	if c.conn.IsClosed() {
		c.conn = nil
	} else if t := c.conn.PgConn().ParameterStatus("sycamorehub.token"); t != "" {
		c.token = t
	}
}

// rowID is the primary key of the caller's n-th row.
func (c *caller) rowID(n int) string { return fmt.Sprintf("%d-%d-%d", c.opts.Seed, c.id, n) }

func (c *caller) write(ctx context.Context) error {
	c.lastRow++
	id := c.rowID(c.lastRow)
	_, err := c.conn.Exec(ctx, "INSERT INTO orders (key, value) VALUES ($1, $2)", id, c.class.Name)
	outcome := outcomeOf(err)
	order := Order{Key: c.sessionKey(), ID: id, Addr: c.addr, At: time.Now(), Outcome: outcome, Err: err}
	c.collector.addOrder(order)
	if c.opts.OnOrder != nil {
		c.opts.OnOrder(order)
	}
	return err
}

// readBack reads the last written row in the same session and counts a miss.
func (c *caller) readBack(ctx context.Context) {
	if _, err := c.conn.Exec(ctx, "SET sycamorehub.class = '"+c.class.ReadBack+"'"); err != nil {
		return
	}
	start := time.Now()
	var value, member string
	err := c.conn.QueryRow(ctx, "SELECT value FROM orders WHERE key = $1", c.rowID(c.lastRow)).Scan(&value)
	stale := errors.Is(err, pgx.ErrNoRows)
	if stale {
		err = nil
	}
	c.collector.addRequest(c.class.ReadBack, err, start)
	if err == nil {
		c.collector.addSessionRead(stale)
	}
	if err == nil && c.class.AskMember && c.conn.QueryRow(ctx, "SELECT member_name()").Scan(&member) == nil {
		c.collector.addServedRead(c.class.ReadBack, member)
	}
	if !c.conn.IsClosed() {
		_, _ = c.conn.Exec(ctx, "SET sycamorehub.class = '"+c.class.Name+"'")
	}
}

func (c *caller) read(ctx context.Context) error {
	if c.class.AskMember {
		var member string
		err := c.conn.QueryRow(ctx, "SELECT member_name()").Scan(&member)
		if err == nil {
			c.collector.addServedRead(c.class.Name, member)
		}
		return err
	}
	var n int64
	return c.conn.QueryRow(ctx, "SELECT count(*) FROM orders").Scan(&n)
}
