package workload

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
)

// Ledger is the comparison of the orders with the database.
type Ledger struct {
	Acknowledged, Refused, Unknown int
	Lost                           []string // acknowledged but absent
	RanAnyway                      []string // refused as "not run" but present
	UnknownPresent                 int
}

// Check reads the rows of all services directly from their primaries, given as addresses, and compares them. Row ids
// are primary keys, so a doubled order would show as an error of the second insert, not as a second row.
func (r *Result) Check(ctx context.Context, primaries []string) (*Ledger, error) {
	present := map[string]bool{}
	for _, addr := range primaries {
		if err := addOrderIDs(ctx, addr, present); err != nil {
			return nil, err
		}
	}
	ledger := &Ledger{}
	for _, order := range r.Orders {
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
	// memberConnectTimeout bounds the wait for a connection of a member whose connections two owners hold after a fault.
	memberConnectTimeout = 10 * time.Second
	memberRetryInterval  = 100 * time.Millisecond
)

// connectToMember opens a connection to a member, once it has one to spare.
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
