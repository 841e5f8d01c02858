package member

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"time"
)

// maxRepeatBytes is the size limit of one row of repeat_rows.
const maxRepeatBytes = 1 << 20

// result is the outcome of a statement. The command tag of a statement with rows is known once all are read.
type result struct {
	next     func() ([]string, bool) // returns the next row, false after the last one; nil without rows
	tag      string                  // command tag of a statement without rows
	rowCount int                     // rows read so far
}

func (r *result) commandTag() string {
	if r.next == nil {
		return r.tag
	}
	return "SELECT " + strconv.Itoa(r.rowCount)
}

// execute runs a statement in the session's transaction, or in a new implicit one. consume reads the rows while the
// statement holds its slot. An error rolls back an implicit transaction and marks an explicit one as failed.
func (s *session) execute(ctx context.Context, st *statement, args []string, consume func(*result) error) error {
	s.member.counters.countStatement(st.kind)
	err := s.executeStatement(ctx, st, args, consume)
	if err != nil {
		s.failTransaction()
	}
	return err
}

// failTransaction marks an explicit transaction as failed and rolls back an implicit one.
func (s *session) failTransaction() {
	switch {
	case s.tx == nil:
	case s.tx.implicit:
		s.endTransaction(true)
	default:
		s.tx.failed = true
	}
}

func (s *session) executeStatement(ctx context.Context, st *statement, args []string, consume func(*result) error) error {
	if err := s.checkFailed(st); err != nil {
		return err
	}
	switch st.kind {
	case KindBegin, KindCommit, KindRollback:
		return s.executeTransactionControl(st, consume)
	}
	s.beginTransaction(true, "")
	switch st.kind {
	case KindSet:
		if err := s.setParam(st); err != nil {
			return err
		}
		return consume(&result{tag: "SET"})
	case KindShow:
		v, err := s.paramValue(st.option)
		if err != nil {
			return err
		}
		return consume(oneRow(v))
	case KindCreate:
		return consume(&result{tag: "CREATE TABLE"})
	}
	return s.runInSlot(ctx, func() error {
		r, err := s.runStatement(ctx, st, args)
		if err != nil {
			return err
		}
		return consume(r)
	})
}

// checkFailed refuses all statements in a failed transaction except COMMIT and ROLLBACK.
func (s *session) checkFailed(st *statement) error {
	if s.tx == nil || !s.tx.failed || st.kind == KindCommit || st.kind == KindRollback {
		return nil
	}
	return sqlErrorf(stateFailedTransaction, "current transaction is aborted, commands ignored until end of transaction block")
}

func (s *session) executeTransactionControl(st *statement, consume func(*result) error) error {
	tag := strings.ToUpper(st.kind)
	switch {
	case st.kind == KindBegin:
		s.beginTransaction(false, st.option)
	case s.tx == nil: // PostgreSQL only warns that there is no transaction in progress
	case st.kind == KindRollback || s.tx.failed:
		s.endTransaction(true)
		tag = "ROLLBACK"
	default:
		if err := s.commitTransaction(); err != nil {
			return err
		}
	}
	return consume(&result{tag: tag})
}

// runInSlot takes a slot in order of arrival, waits for the service time, and runs f while it holds the slot.
func (s *session) runInSlot(ctx context.Context, f func() error) error {
	if s.member.slots.acquire(ctx) != nil {
		return s.interruptedError()
	}
	defer s.member.slots.release()
	if d := time.Duration(s.member.Faults().ServiceTime); d > 0 && !sleepContext(ctx, d) {
		return s.interruptedError()
	}
	return f()
}

// interruptedError returns the error of a statement whose context has ended: by Close or by a cancel request.
func (s *session) interruptedError() error {
	if s.member.ctx.Err() != nil {
		return sqlErrorf(stateAdminShutdown, "terminating connection due to administrator command")
	}
	return sqlErrorf(stateQueryCancelled, "canceling statement due to user request")
}

// runStatement executes a statement that needs a slot.
func (s *session) runStatement(ctx context.Context, st *statement, args []string) (*result, error) {
	switch st.kind {
	case KindInsert, KindUpsert, KindUpdate, KindDelete:
		return s.runWrite(st, args)
	case KindGet:
		if v, ok := s.tx.lookup(s.member.engine, st.table, args[0]); ok {
			return oneRow(v), nil
		}
		return &result{next: func() ([]string, bool) { return nil, false }}, nil
	case KindScan:
		return s.scan(st.table), nil
	case KindCount:
		keys, _ := s.tx.rows(s.member.engine, st.table)
		return oneRow(strconv.Itoa(len(keys))), nil
	case KindInteger:
		return oneRow(st.option), nil
	case KindName:
		return oneRow(s.member.opts.Name), nil
	default:
		return s.runNumeric(ctx, st, args)
	}
}

func (s *session) runWrite(st *statement, args []string) (*result, error) {
	o := op{Table: st.table, Key: args[0]}
	if len(args) > 1 {
		o.Value = args[1]
	}
	tag := "INSERT 0 "
	switch st.kind {
	case KindUpsert:
		o.Kind = opUpsert
	case KindUpdate:
		o.Kind, tag = opUpdate, "UPDATE "
	case KindDelete:
		o.Kind, tag = opDelete, "DELETE "
	}
	n, err := s.tx.write(s.member.engine, o)
	if err != nil {
		return nil, err
	}
	return &result{tag: tag + strconv.Itoa(n)}, nil
}

func (s *session) scan(table string) *result {
	keys, values := s.tx.rows(s.member.engine, table)
	return &result{next: func() ([]string, bool) {
		if len(keys) == 0 {
			return nil, false
		}
		k := keys[0]
		keys = keys[1:]
		return []string{k, values[k]}, true
	}}
}

// runNumeric executes the functions whose arguments are integers.
func (s *session) runNumeric(ctx context.Context, st *statement, args []string) (*result, error) {
	n := make([]int64, len(args))
	for i, a := range args {
		v, err := strconv.ParseInt(a, 10, 64)
		if err != nil {
			return nil, sqlErrorf(stateInvalidText, "invalid input syntax for type bigint: %q", a)
		}
		n[i] = v
	}
	switch st.kind {
	case KindSeries:
		return series(n[0], n[1], func(i int64) string { return strconv.FormatInt(i, 10) }), nil
	case KindRepeat:
		if n[1] < 0 || n[1] > maxRepeatBytes {
			return nil, sqlErrorf(stateInvalidParameterValue, "row size of repeat_rows must be 0 to %d bytes", maxRepeatBytes)
		}
		padding := strings.Repeat("x", int(n[1]))
		return series(1, n[0], func(i int64) string {
			number := strconv.FormatInt(i, 10)
			return number + padding[min(len(number), len(padding)):]
		}), nil
	case KindSleep:
		if !sleepContext(ctx, time.Duration(n[0])*time.Millisecond) {
			return nil, s.interruptedError()
		}
		return oneRow(args[0]), nil
	}
	return nil, errors.New("statement kind " + st.kind + " cannot be executed")
}

// oneRow returns a result with a single row and column.
func oneRow(v string) *result {
	return series(1, 1, func(int64) string { return v })
}

// series returns a result with one row for each number from first to last.
func series(first, last int64, row func(int64) string) *result {
	i := first
	return &result{next: func() ([]string, bool) {
		if i > last {
			return nil, false
		}
		i++
		return []string{row(i - 1)}, true
	}}
}
