package datapath

import (
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/emulator/member"
	"github.com/sycamorehub/sycamorehub/pkg/backend"
	"github.com/sycamorehub/sycamorehub/pkg/frontend"
)

// Guards against a data path that works with this package's fake endpoint, but not with the members of emulator/member.
func TestMemberStandIn(t *testing.T) {
	service, err := member.StartService(member.NewServiceInfo("svc", "db", "dc", "region", 1, 4, 8), member.ServiceOptions{})
	require.NoError(t, err)
	t.Cleanup(service.Close)
	p := newDataPath(t, func(o *backend.Options, _ *frontend.Options) { o.Member.DataAddr = service.Members[0].DataAddr() })
	c := p.connect(t)
	insert := func(key, value string) error {
		_, err := c.Exec(background, "INSERT INTO t (key, value) VALUES ($1, $2)", key, value)
		return err
	}
	require.NoError(t, insert("a", "1"))
	require.NotEmpty(t, c.PgConn().ParameterStatus("sycamorehub.token"))
	require.Equal(t, "1", queryValue(t, c, "SELECT value FROM t WHERE key = $1", "a"))
	require.Equal(t, "23505", sqlState(t, insert("a", "2")))
	for range 2 {
		mustExec(t, c, "SET sycamorehub.idempotency_key = 'k'")
		require.NoError(t, insert("b", "2"))
		mustExec(t, c, "SET sycamorehub.idempotency_key = 'two'")
		tag, err := c.Exec(background, "UPDATE t SET value = '3' WHERE key = 'none'")
		require.NoError(t, err)
		require.Equal(t, "UPDATE 0", tag.String())
		require.NoError(t, insert("c", "3"))
		mustExec(t, c, "DELETE FROM t WHERE key = 'c'")
	}
	tx, err := c.BeginTx(background, pgx.TxOptions{AccessMode: pgx.ReadOnly})
	require.NoError(t, err)
	require.Equal(t, "25006", sqlState(t, insert("d", "4")))
	require.NoError(t, tx.Rollback(background))
	mustExec(t, c, "SET sycamorehub.class = 'lookups'")
	require.Equal(t, "25006", sqlState(t, insert("d", "4")))
	require.Equal(t, "1", queryValue(t, c, "SELECT value FROM t WHERE key = $1", "a"))
}
