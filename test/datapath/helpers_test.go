package datapath

import (
	"errors"
	"testing"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/require"
)

// sqlState returns the SQLSTATE of an error that the server reported.
func sqlState(t testing.TB, err error) string {
	var pe *pgconn.PgError
	require.True(t, errors.As(err, &pe), "%v", err)
	return pe.Code
}
