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

// SQLStateUnknown is the SQLSTATE of a request whose outcome is unknown.
const SQLStateUnknown = "08007"

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
func Run(ctx context.Context, o Options) *Result {
	ctx, cancel := context.WithTimeout(ctx, o.Duration)
	defer cancel()
	start := time.Now()
	run := &collector{res: &Result{Classes: map[string]*ClassResult{}}, from: start.Add(o.Warmup)}
	var wg sync.WaitGroup
	n := 0
	for _, class := range o.Classes {
		for _, name := range []string{class.Name, class.ReadBack} {
			if name != "" && run.res.Classes[name] == nil {
				run.res.Classes[name] = &ClassResult{Errors: map[string]int{}, ByMember: map[string]int{}}
			}
		}
		for range class.Callers {
			c := &caller{o: o, class: class, id: n, run: run, rng: rand.New(rand.NewPCG(o.Seed, uint64(n)))}
			n++
			wg.Go(func() { c.loop(ctx) })
		}
	}
	wg.Wait()
	run.res.Elapsed = o.Duration - o.Warmup
	for _, r := range run.res.Classes {
		sort.Slice(r.Latencies, func(i, j int) bool { return r.Latencies[i] < r.Latencies[j] })
	}
	return run.res
}

// caller is one session that issues requests of one class.
type caller struct {
	o     Options
	class Class
	id    int
	run   *collector
	rng   *rand.Rand
	conn  *pgx.Conn
	addr  string
	token string // last session token, passed on when the session moves to another entry VM
	seq   int
}

func (c *caller) key() string {
	if c.o.Keys == 0 {
		return ""
	}
	return fmt.Sprintf("k%d", c.id%c.o.Keys)
}

func (c *caller) loop(ctx context.Context) {
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
	c.addr = c.o.Addrs[c.rng.IntN(len(c.o.Addrs))]
	cfg, err := pgx.ParseConfig(fmt.Sprintf("postgres://caller@%s/%s?sslmode=disable", c.addr, c.o.Database))
	if err != nil {
		return false
	}
	cfg.ConnectTimeout = connectTimeout
	cfg.RuntimeParams["sycamorehub.class"] = c.class.Name
	if c.token != "" {
		cfg.RuntimeParams["sycamorehub.token"] = c.token
	}
	if k := c.key(); k != "" {
		cfg.RuntimeParams["sycamorehub.key"] = k
	}
	c.conn, err = pgx.ConnectConfig(ctx, cfg)
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
	c.run.record(c.class.Name, err, start)
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
func (c *caller) rowID(n int) string { return fmt.Sprintf("%d-%d-%d", c.o.Seed, c.id, n) }

func (c *caller) write(ctx context.Context) error {
	c.seq++
	id := c.rowID(c.seq)
	_, err := c.conn.Exec(ctx, "INSERT INTO orders (key, value) VALUES ($1, $2)", id, c.class.Name)
	outcome := classify(err)
	o := Order{Key: c.key(), ID: id, Addr: c.addr, At: time.Now(), Outcome: outcome, Err: err}
	c.run.order(o)
	if c.o.OnOrder != nil {
		c.o.OnOrder(o)
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
	err := c.conn.QueryRow(ctx, "SELECT value FROM orders WHERE key = $1", c.rowID(c.seq)).Scan(&value)
	stale := errors.Is(err, pgx.ErrNoRows)
	if stale {
		err = nil
	}
	c.run.record(c.class.ReadBack, err, start)
	if err == nil {
		c.run.sessionRead(stale)
	}
	if err == nil && c.class.AskMember && c.conn.QueryRow(ctx, "SELECT member_name()").Scan(&member) == nil {
		c.run.served(c.class.ReadBack, member)
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
			c.run.served(c.class.Name, member)
		}
		return err
	}
	var n int64
	return c.conn.QueryRow(ctx, "SELECT count(*) FROM orders").Scan(&n)
}
