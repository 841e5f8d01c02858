// Package workload runs callers against entry VMs with an unmodified PostgreSQL driver and counts what was served. A
// write inserts a row with a key of its own, an order, so that what callers were told can be compared with the rows
// afterwards. Callers never repeat a request, so that each failure is counted. The package is not part of the product.
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
	"github.com/jackc/pgx/v5/pgconn"
)

// SQLStateOutcomeUnknown is the SQLSTATE with which a daemon answers when it does not know whether a request ran.
const SQLStateOutcomeUnknown = "08007"

// Kind tells whether a class reads or writes.
type Kind uint8

// Kinds of classes.
const (
	Read        Kind = iota // counts the rows, or with AskMember asks for the name of the member
	Write                   // inserts one row
	Transaction             // inserts rowsPerTransaction rows in a transaction and reads each one back there
)

// Class describes the load of one class of work.
type Class struct {
	Name    string
	Kind    Kind
	Callers int           // callers that run at once, each in a session of its own
	Pause   time.Duration // mean of the exponentially distributed pause of a caller between two requests
	// StatementPause is the longest pause between two statements of a transaction; 0 means 30 ms.
	StatementPause time.Duration
	// FixedRate makes Pause count from the planned start of one request to that of the next, so that slow answers do not
	// lower the rate as long as a caller is free when its next request is due. Load that a flood must not displace is
	// sent so.
	FixedRate bool
	// AskMember makes callers ask which member serves their reads, also when they read back what they wrote. The answers
	// are counted in ClassResult.ByMember.
	AskMember bool
	// ReadBack is the read class in which a caller reads its row back after each acknowledged write. Empty means that it
	// does not.
	ReadBack string
	// ReadBackAfterReconnect makes a caller also read back the row that was last acknowledged each time that its session
	// continues on a new connection. It needs ReadBack.
	ReadBackAfterReconnect bool
}

// Request is one request of a caller, also each statement of a transaction.
type Request struct {
	Class, Addr string    // Addr is the caller address of the entry VM
	Opened      time.Time // before its connection was opened
	Begin, End  time.Time
	// InTransaction means that an earlier statement of the same transaction was served.
	InTransaction bool
	Err           error  // what the driver returned
	Wrong         string // how a served read contradicts what its caller was told before; empty if it does not
}

// Options configure a run.
type Options struct {
	Addrs    []string // caller addresses of entry VMs; each connection goes to a random one, as with a load balancer
	Database string
	Keys     int // number of session keys, which select services of the database; 0: callers send none
	Classes  []Class
	Duration time.Duration // includes Warmup
	Warmup   time.Duration // requests that begin during it are not counted in Result.Classes
	Seed     uint64
	OnOrder  func(Order) // called after each order, by several callers at once; may be nil
	// OnRequest is called after each request, by several callers at once; it may be nil.
	OnRequest func(Request)
}

// Run runs all callers until opts.Duration has passed or ctx ends, waits for the requests in progress and returns what
// callers saw.
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

// caller sends the requests of one class in one session, which it continues on a new connection if it loses one.
type caller struct {
	opts          Options
	class         Class
	id            int
	collector     *collector
	rng           *rand.Rand
	conn          *pgx.Conn // nil while there is no connection
	opened        time.Time // before the connection was opened
	fatal         error     // with which the server ended the connection; nil if it did not
	addr          string    // caller address of the entry VM that the caller last connected to
	token         string    // last session token, sent again when the session continues at another entry VM
	lastRow       int       // number of the row last written, see rowID
	inTransaction bool      // a statement of the open transaction was served
	lastAcked     string    // primary key of the row that was last acknowledged; empty if there is none
}

// sessionKey returns the session key of the caller, or "" if callers send none.
func (c *caller) sessionKey() string {
	if c.opts.Keys == 0 {
		return ""
	}
	return fmt.Sprintf("k%d", c.id%c.opts.Keys)
}

// run sends requests until ctx ends.
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

// sleep waits for d or until ctx ends.
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
	connectPause   = 50 * time.Millisecond // after a failed attempt to connect
	requestTimeout = 45 * time.Second
	severityFatal  = "FATAL" // of an error that ends the connection
)

// connect opens a connection to a random entry VM and reports whether it succeeded. After a failed attempt it pauses.
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
	c.fatal, c.opened = nil, time.Now()
	config.OnPgError = func(_ *pgconn.PgConn, err *pgconn.PgError) bool {
		if err.Severity != severityFatal {
			return true
		}
		c.fatal = err
		return false // closes the connection
	}
	c.conn, err = pgx.ConnectConfig(ctx, config)
	if err != nil {
		c.conn = nil
		sleep(ctx, connectPause)
		return false
	}
	if c.class.ReadBackAfterReconnect && c.lastAcked != "" {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), requestTimeout)
		defer cancel()
		c.readBack(ctx)
		c.keepToken()
	}
	return c.conn != nil
}

// answer returns the error with which the server ended the connection if err, which the driver returned, does not hold it.
// The driver drops it when the server ends the connection while the driver deallocates a prepared statement.
func (c *caller) answer(err error) error {
	var pg *pgconn.PgError
	if err != nil && c.fatal != nil && !errors.As(err, &pg) {
		return fmt.Errorf("%w (%w)", c.fatal, err)
	}
	return err
}

// keepToken keeps the session's token for the next connection, and forgets a connection that has closed.
func (c *caller) keepToken() {
	if t := c.conn.PgConn().ParameterStatus("sycamorehub.token"); t != "" {
		c.token = t
	}
	if c.conn.IsClosed() {
		c.conn = nil
	}
}

func (c *caller) disconnect() {
	if c.conn != nil {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = c.conn.Close(ctx)
		c.conn = nil
	}
}

// request sends one request, and after an acknowledged write the read that reads it back. It goes on when ctx ends, so
// that a request in progress at the end of the run does not count as a failure of the system.
func (c *caller) request(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), requestTimeout)
	defer cancel()
	start := time.Now()
	var err error
	switch c.class.Kind {
	case Write:
		err = c.write(ctx)
		c.report(start, err, "")
	case Transaction:
		err = c.transaction(ctx)
	default:
		err = c.read(ctx)
		c.report(start, err, "")
	}
	c.collector.addRequest(c.class.Name, err, start)
	if err == nil && c.class.ReadBack != "" {
		c.readBack(ctx)
	}
	c.keepToken()
}

// report passes a request that began at begin and ends now to Options.OnRequest.
func (c *caller) report(begin time.Time, err error, wrong string) {
	if c.opts.OnRequest != nil {
		c.opts.OnRequest(Request{Class: c.class.Name, Addr: c.addr, Opened: c.opened, Begin: begin, End: time.Now(), InTransaction: c.inTransaction,
			Err: err, Wrong: wrong})
	}
}

// rowID returns the primary key of the n-th row that the caller writes.
func (c *caller) rowID(n int) string { return fmt.Sprintf("%d-%d-%d", c.opts.Seed, c.id, n) }

// write inserts the next row and records the order.
func (c *caller) write(ctx context.Context) error {
	c.lastRow++
	id := c.rowID(c.lastRow)
	_, err := c.conn.Exec(ctx, "INSERT INTO orders (key, value) VALUES ($1, $2)", id, c.class.Name)
	err = c.answer(err)
	outcome := outcomeOf(err)
	c.addOrder(Order{Key: c.sessionKey(), ID: id, Addr: c.addr, At: time.Now(), Outcome: outcome, Err: err})
	return err
}

// addOrder records an order and passes it to Options.OnOrder.
func (c *caller) addOrder(order Order) {
	if order.Outcome == Acknowledged {
		c.lastAcked = order.ID
	}
	c.collector.addOrder(order)
	if c.opts.OnOrder != nil {
		c.opts.OnOrder(order)
	}
}

// readBack reads the row that was last acknowledged in the same session and counts the read as stale if it does not see the row.
func (c *caller) readBack(ctx context.Context) {
	start := time.Now()
	if _, err := c.conn.Exec(ctx, "SET sycamorehub.class = '"+c.class.ReadBack+"'"); err != nil {
		c.report(start, c.answer(err), "")
		return
	}
	start = time.Now()
	var value, member string
	err := c.answer(c.conn.QueryRow(ctx, "SELECT value FROM orders WHERE key = $1", c.lastAcked).Scan(&value))
	stale := errors.Is(err, pgx.ErrNoRows)
	wrong := ""
	if stale {
		err, wrong = nil, "read misses "+c.lastAcked+", acknowledged in the same session"
	}
	c.report(start, err, wrong)
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

// read sends a read of the caller's class.
func (c *caller) read(ctx context.Context) error {
	if c.class.AskMember {
		var member string
		err := c.answer(c.conn.QueryRow(ctx, "SELECT member_name()").Scan(&member))
		if err == nil {
			c.collector.addServedRead(c.class.Name, member)
		}
		return err
	}
	var n int64
	return c.answer(c.conn.QueryRow(ctx, "SELECT count(*) FROM orders").Scan(&n))
}
