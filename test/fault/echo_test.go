package fault

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
)

// lastUnique is the last number that nextUniqueNumber returned.
var lastUnique atomic.Int64

// uniqueNumberStep is the distance between two unique numbers. It exceeds the number of rows of any request, so that
// the series of two requests never overlap.
const uniqueNumberStep = 10_000_000

// nextUniqueNumber returns a number that no other request of this process asks for.
func nextUniqueNumber() int64 { return lastUnique.Add(uniqueNumberStep) }

// echoCaller sends requests whose answers identify the request, and checks each answer.
type echoCaller struct {
	cluster   *cluster
	vm, class string
	random    *rand.Rand
	maxRows   int64
	conn      *pgx.Conn

	mu           sync.Mutex
	wholeAnswers int
	lastWholeAt  time.Time         // time of the last whole answer
	errorCounts  map[string]int    // by SQLSTATE
	errorSamples map[string]string // one message for each SQLSTATE
	wrongAnswers []string
}

func (e *echoCaller) run(ctx context.Context) {
	for ctx.Err() == nil {
		if e.conn == nil || e.conn.IsClosed() {
			dialCtx, cancel := callContext(2 * time.Second)
			conn, err := e.cluster.connect(dialCtx, e.vm, e.class, nil)
			cancel()
			if err != nil {
				time.Sleep(requestPause)
				continue
			}
			e.conn = conn
		}
		e.record(e.randomRequest())
		time.Sleep(time.Duration(e.random.IntN(10)) * time.Millisecond)
	}
	if e.conn != nil {
		dropConnection(e.conn)
	}
}

// errWrongAnswer reports an answer that does not belong to its request, or that is incomplete without an error.
var errWrongAnswer = errors.New("wrong answer")

func wrongAnswer(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errWrongAnswer, fmt.Sprintf(format, args...))
}

// record counts how a request ended. It closes the connection after an error without a SQLSTATE.
func (e *echoCaller) record(err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case err == nil:
		e.wholeAnswers++
		e.lastWholeAt = time.Now()
	case errors.Is(err, errWrongAnswer):
		e.wrongAnswers = append(e.wrongAnswers, err.Error())
	default:
		e.errorCounts[sqlState(err)]++
		e.errorSamples[sqlState(err)] = fmt.Sprintf("%s, %s: %v", e.vm, time.Now().Format(time.StampMilli), err)
		if sqlState(err) == "" {
			_ = e.conn.Close(context.Background())
		}
	}
}

// randomRequest sends one request of a random kind and checks its answer.
func (e *echoCaller) randomRequest() error {
	ctx, cancel := callContext(livenessTimeout)
	defer cancel()
	switch e.random.IntN(6) {
	case 0:
		return e.singleNumber(ctx)
	case 1:
		return e.series(ctx, 1+e.random.Int64N(20), 0)
	case 2:
		return e.series(ctx, 1+e.random.Int64N(e.maxRows), 0)
	case 3:
		return e.batch(ctx)
	case 4:
		return e.pipeline(ctx)
	}
	return e.cancelledSeries(ctx)
}

// singleNumber asks for one unique number with the simple protocol.
func (e *echoCaller) singleNumber(ctx context.Context) error {
	want := nextUniqueNumber()
	var got int64
	err := e.conn.QueryRow(ctx, fmt.Sprintf("SELECT %d", want), pgx.QueryExecModeSimpleProtocol).Scan(&got)
	if errors.Is(err, pgx.ErrNoRows) || err == nil && got != want {
		return wrongAnswer("SELECT %d gave %d, %v", want, got, err)
	}
	return err
}

// series reads n consecutive numbers from a unique one on. It pauses after every slowReaderRows rows, as a slow reader
// does.
func (e *echoCaller) series(ctx context.Context, n int64, pause time.Duration) error {
	first := nextUniqueNumber()
	rows, err := e.conn.Query(ctx, "SELECT generate_series($1, $2)", first, first+n-1)
	if err != nil {
		return err
	}
	return checkSeries(rows, first, n, pause)
}

const slowReaderRows = 1000 // rows between two pauses

// checkSeries reads all rows and requires n consecutive numbers from first on.
func checkSeries(rows pgx.Rows, first, n int64, pause time.Duration) error {
	defer rows.Close()
	read := int64(0)
	for rows.Next() {
		var got int64
		if err := rows.Scan(&got); err != nil {
			return wrongAnswer("row %d of a series from %d: %v", read, first, err)
		}
		if got != first+read {
			return wrongAnswer("row %d of a series from %d is %d", read, first, got)
		}
		if read++; pause > 0 && read%slowReaderRows == 0 {
			time.Sleep(pause)
		}
	}
	if err := rows.Err(); err != nil {
		return err
	}
	if read != n || rows.CommandTag().RowsAffected() != n {
		return wrongAnswer("series from %d ended without an error after %d of %d rows, with tag %q", first, read, n, rows.CommandTag())
	}
	return nil
}

// batch sends several series in one batch.
func (e *echoCaller) batch(ctx context.Context) error {
	queries := &pgx.Batch{}
	var first, counts []int64
	for range 2 + e.random.IntN(5) {
		first, counts = append(first, nextUniqueNumber()), append(counts, 1+e.random.Int64N(50))
		queries.Queue("SELECT generate_series($1, $2)", first[len(first)-1], first[len(first)-1]+counts[len(counts)-1]-1)
	}
	results := e.conn.SendBatch(ctx, queries)
	for i := range first {
		rows, err := results.Query()
		if err == nil {
			err = checkSeries(rows, first[i], counts[i], 0)
		}
		if err != nil {
			_ = results.Close()
			return err
		}
	}
	return results.Close()
}

// pipeline sends several units without waiting for answers, each with a Sync of its own.
func (e *echoCaller) pipeline(ctx context.Context) error {
	conn := e.conn.PgConn().StartPipeline(ctx)
	var asked []int64
	for range 2 + e.random.IntN(5) {
		number := nextUniqueNumber()
		asked = append(asked, number)
		conn.SendQueryParams(fmt.Sprintf("SELECT %d", number), nil, nil, nil, nil)
		if err := conn.Sync(); err != nil {
			_ = conn.Close()
			return err
		}
	}
	var failed error
	answered := 0
	for answered < len(asked) {
		res, err := conn.GetResults()
		if err != nil {
			failed = err
			if sqlState(err) == "" {
				break
			}
			continue // the result of the Sync of the failed unit follows
		}
		switch r := res.(type) {
		case *pgconn.ResultReader:
			read := r.Read()
			if read.Err == nil && (len(read.Rows) != 1 || string(read.Rows[0][0]) != strconv.FormatInt(asked[answered], 10)) {
				_ = conn.Close()
				return wrongAnswer("unit %d of a pipeline asked for %d and got %q", answered, asked[answered], read.Rows)
			}
		case *pgconn.PipelineSync:
			answered++
		}
	}
	return errors.Join(failed, conn.Close())
}

// cancelledSeries cancels a series at a random moment, through a random entry VM, and then at once sends a request that
// the cancel request must not reach.
func (e *echoCaller) cancelledSeries(ctx context.Context) error {
	done := make(chan struct{})
	delay := time.Duration(e.random.IntN(40)) * time.Millisecond
	vms := e.cluster.vmsExcept()
	vm, err := e.cluster.VM(vms[e.random.IntN(len(vms))])
	if err != nil {
		return err
	}
	pid, secret := e.conn.PgConn().PID(), e.conn.PgConn().SecretKey()
	go func() {
		defer close(done)
		time.Sleep(delay)
		sendCancel(vm.CallerAddr, pid, secret)
	}()
	err = e.series(ctx, 1+e.random.Int64N(e.maxRows), 2*time.Millisecond)
	<-done
	if err != nil && (errors.Is(err, errWrongAnswer) || sqlState(err) != "57014") { // codeCanceled
		return err
	}
	return e.singleNumber(ctx)
}

const cancelRequestCode = 80877102 // code of a CancelRequest in the PostgreSQL protocol

// sendCancel sends a cancel request and waits until the entry VM has handled it.
func sendCancel[S ~[]byte](addr string, pid uint32, secret S) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	msg := binary.BigEndian.AppendUint32(nil, uint32(12+len(secret)))
	msg = binary.BigEndian.AppendUint32(msg, cancelRequestCode)
	msg = append(binary.BigEndian.AppendUint32(msg, pid), secret...)
	if _, err = conn.Write(msg); err == nil {
		_, _ = conn.Read(msg[:1])
	}
}

// startEchoCallers runs perVM callers of the class on each entry VM until finish is called. finish checks that no
// answer was wrong and returns how often each SQLSTATE was seen.
func (c *cluster) startEchoCallers(seed uint64, class string, perVM int, maxRows int64) (callers []*echoCaller, finish func() map[string]int) {
	ctx, stop := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for i, vm := range c.vmsExcept() {
		for j := range perVM {
			caller := &echoCaller{cluster: c, vm: vm, class: class, random: randomStream(seed, perVM*i+j), maxRows: maxRows,
				errorCounts: map[string]int{}, errorSamples: map[string]string{}}
			callers = append(callers, caller)
			group.Go(func() { caller.run(ctx) })
		}
	}
	c.t.Cleanup(func() { stop(); group.Wait() })
	return callers, func() map[string]int {
		stop()
		group.Wait()
		states, wholeAnswers := map[string]int{}, 0
		for _, caller := range callers {
			for _, wrong := range caller.wrongAnswers {
				c.t.Error(wrong)
			}
			for state, count := range caller.errorCounts {
				states[state] += count
			}
			for state, text := range caller.errorSamples {
				c.t.Logf("%s: %s", state, text)
			}
			wholeAnswers += caller.wholeAnswers
		}
		c.t.Logf("%d whole answers; errors by SQLSTATE: %v", wholeAnswers, states)
		return states
	}
}

// allAnsweredSince returns a condition: each caller has received a whole answer after t.
func allAnsweredSince(callers []*echoCaller, t time.Time) func() bool {
	return func() bool {
		for _, caller := range callers {
			caller.mu.Lock()
			lastWholeAt := caller.lastWholeAt
			caller.mu.Unlock()
			if !lastWholeAt.After(t) {
				return false
			}
		}
		return true
	}
}
