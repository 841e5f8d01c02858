package workload

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
)

// Ledger compares what callers were told about their orders with the rows in the databases.
type Ledger struct {
	Acknowledged, Refused, Unknown int
	Lost                           []string // ids of orders that were acknowledged, but have no row
	RanAnyway                      []string // ids of orders that were refused as not run, but have a row
	UnknownPresent                 int      // orders of unknown outcome that have a row
	Partial                        []string // ids of transactions of which some orders have a row and others do not
}

// Check compares the orders with the rows, which it reads from the primaries of all services at their data addresses. An
// order has at most one row, since its id is the primary key: if it ran twice, the second insert failed.
func (r *Result) Check(ctx context.Context, primaries []string) (*Ledger, error) {
	present := map[string]bool{}
	for _, addr := range primaries {
		if err := addOrderIDs(ctx, addr, present); err != nil {
			return nil, err
		}
	}
	ledger := &Ledger{}
	wholes := map[string]bool{} // by transaction: whether its first order has a row
	for _, order := range r.Orders {
		if first, seen := wholes[order.Transaction]; order.Transaction != "" && !seen {
			wholes[order.Transaction] = present[order.ID]
		} else if order.Transaction != "" && first != present[order.ID] {
			ledger.Partial = append(ledger.Partial, order.Transaction)
		}
		switch order.Outcome {
		case Acknowledged:
			ledger.Acknowledged++
			if !present[order.ID] {
				ledger.Lost = append(ledger.Lost, order.ID)
			}
		case Refused:
			ledger.Refused++
			if present[order.ID] {
				ledger.RanAnyway = append(ledger.RanAnyway, order.ID)
			}
		case Unknown:
			ledger.Unknown++
			if present[order.ID] {
				ledger.UnknownPresent++
			}
		}
	}
	return ledger, nil
}

const (
	sqlStateTooManyConnections = "53300"
	// memberConnectTimeout bounds the wait for a connection. After a fault two owners may hold all connections of a
	// member for some time.
	memberConnectTimeout = 10 * time.Second
	memberRetryInterval  = 100 * time.Millisecond
)

// connectToMember opens a connection to a member. While the member refuses it because it is at its connection limit,
// connectToMember tries again, up to memberConnectTimeout.
func connectToMember(ctx context.Context, addr string) (*pgx.Conn, error) {
	begin := time.Now()
	for {
		conn, err := pgx.Connect(ctx, fmt.Sprintf("postgres://check@%s/check?sslmode=disable", addr))
		var pg *pgconn.PgError
		if !errors.As(err, &pg) || pg.Code != sqlStateTooManyConnections || time.Since(begin) > memberConnectTimeout {
			return conn, err
		}
		time.Sleep(memberRetryInterval)
	}
}

// addOrderIDs adds the ids of all orders that have a row on the member to present.
func addOrderIDs(ctx context.Context, addr string, present map[string]bool) error {
	conn, err := connectToMember(ctx, addr)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close(ctx) }()
	rows, err := conn.Query(ctx, "SELECT key, value FROM orders")
	if err != nil {
		return err
	}
	var key, value string
	_, err = pgx.ForEachRow(rows, []any{&key, &value}, func() error {
		present[key] = true
		return nil
	})
	return err
}
