package workload

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5"
)

const (
	rowsPerTransaction    = 2
	defaultStatementPause = 30 * time.Millisecond
)

// transaction runs one transaction and records an order for each of its rows. All of them have the same outcome.
func (c *caller) transaction(ctx context.Context) error {
	c.lastRow++
	id := c.rowID(c.lastRow)
	outcome, err := c.runTransaction(ctx, id)
	for i := range rowsPerTransaction {
		c.addOrder(Order{Key: c.sessionKey(), ID: transactionRow(id, i), Transaction: id, Addr: c.addr, At: time.Now(), Outcome: outcome, Err: err})
	}
	return err
}

// transactionRow returns the primary key of a row of a transaction.
func transactionRow(id string, row int) string { return fmt.Sprintf("%s/%d", id, row) }

// runTransaction runs the statements of a transaction. One that fails before COMMIT is sent is rolled back: its outcome
// is Refused.
func (c *caller) runTransaction(ctx context.Context, id string) (Outcome, error) {
	defer func() { c.inTransaction = false }()
	_, err := c.statement(ctx, "BEGIN")
	c.inTransaction = err == nil
	longestPause := cmp.Or(c.class.StatementPause, defaultStatementPause)
	for i := 0; i < rowsPerTransaction && err == nil; i++ {
		sleep(ctx, time.Duration(c.rng.Int64N(int64(longestPause))))
		if _, err = c.statement(ctx, "INSERT INTO orders (key, value) VALUES ($1, $2)", transactionRow(id, i), id); err == nil {
			err = c.readOwnRow(ctx, id, i)
		}
	}
	if err != nil {
		c.rollBack(ctx)
		return Refused, err
	}
	tag, err := c.statement(ctx, "COMMIT")
	if err == nil && tag != "COMMIT" {
		return Refused, nil
	}
	if outcome := outcomeOf(err); outcome != Refused {
		return outcome, err
	}
	c.rollBack(ctx)
	return Refused, err
}

// statement runs one statement of a transaction and returns its command tag.
func (c *caller) statement(ctx context.Context, sql string, args ...any) (string, error) {
	begin := time.Now()
	tag, err := c.conn.Exec(ctx, sql, args...)
	err = c.answer(err)
	c.report(begin, err, "")
	return tag.String(), err
}

// readOwnRow reads a row that the open transaction has inserted.
func (c *caller) readOwnRow(ctx context.Context, id string, row int) error {
	begin, value, wrong := time.Now(), "", ""
	err := c.answer(c.conn.QueryRow(ctx, "SELECT value FROM orders WHERE key = $1", transactionRow(id, row)).Scan(&value))
	if errors.Is(err, pgx.ErrNoRows) {
		err, wrong = nil, "transaction misses its own row "+transactionRow(id, row)
	} else if err == nil && value != id {
		wrong = fmt.Sprintf("transaction %s reads %q in its own row", id, value)
	}
	c.report(begin, err, wrong)
	return err
}

// rollBack rolls the open transaction back, or closes the connection if that fails.
func (c *caller) rollBack(ctx context.Context) {
	c.inTransaction = false // the transaction may have ended with the statement that failed
	if c.conn.IsClosed() {
		return
	}
	if _, err := c.statement(ctx, "ROLLBACK"); err != nil {
		_ = c.conn.Close(ctx)
	}
}
