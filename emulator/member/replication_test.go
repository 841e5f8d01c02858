package member

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// TestReplication guards against entries that a replica loses, reorders or applies too early.
func TestReplication(t *testing.T) {
	f := newFixture(t, 3, 2, 16, ServiceOptions{})
	c := f.connect(0)
	f.exec(c, "INSERT INTO t (key, value) VALUES ($1, $2)", "a", "1")
	require.Equal(t, "1/2", c.PgConn().ParameterStatus("group_position"))
	f.waitApplied(1, 1, 2)
	f.waitApplied(2, 1, 2)
	require.Equal(t, "1", f.value(f.connect(1), "a"))

	f.Members[2].SetFaults(Faults{PauseApply: true})
	f.exec(c, "UPDATE t SET value = '2' WHERE key = 'a'")
	s, err := f.client.Status(f.ctx, f.Info.Members[2], platform.StatusWait{After: 2, Timeout: testLimit})
	require.NoError(t, err)
	require.Equal(t, platform.Position(3), s.LastPosition)
	require.Equal(t, platform.Position(2), s.Applied)
	require.Equal(t, "1", f.value(f.connect(2), "a"))
	f.Members[2].SetFaults(Faults{})
	f.waitApplied(2, 1, 3)
}

// TestDivergedTailIsDiscarded guards against a former primary that, as a replica, keeps writes that no majority holds.
func TestDivergedTailIsDiscarded(t *testing.T) {
	f := newFixture(t, 3, 2, 16, ServiceOptions{})
	c := f.connect(0)
	f.exec(c, "INSERT INTO t (key, value) VALUES ('kept', 'x')")
	f.waitApplied(1, 1, 2)
	f.waitApplied(2, 1, 2)
	f.Members[0].SetFaults(Faults{ControlOutage: true})
	f.exec(c, "UPDATE t SET value = 'lost' WHERE key = 'kept'")
	f.exec(c, "INSERT INTO t (key, value) VALUES ('lost', 'y')")
	f.exec(c, "INSERT INTO t (key, value) VALUES ('lost2', 'y')")

	members := f.Info.Members
	for _, m := range members[1:] {
		_, err := f.client.Fence(f.ctx, m, 5, "p")
		require.NoError(t, err)
	}
	s, err := f.client.Promote(f.ctx, members[1], 5, "p")
	require.NoError(t, err)
	require.Equal(t, platform.Term(5), s.LastTerm)
	require.Equal(t, platform.Position(3), s.LastPosition)
	_, err = f.client.Follow(f.ctx, members[2], 5, members[1])
	require.NoError(t, err)
	f.exec(f.connect(1), "INSERT INTO t (key, value) VALUES ('new', 'z')")
	f.waitApplied(2, 5, 4)

	f.Members[0].SetFaults(Faults{})
	_, err = f.client.Follow(f.ctx, members[0], 5, members[1])
	require.NoError(t, err)
	f.waitApplied(0, 5, 4)
	require.Equal(t, "x", f.value(c, "kept"))
	require.Equal(t, "", f.value(c, "lost"))
	require.Equal(t, "z", f.value(c, "new"))
	require.Equal(t, platform.Position(4), f.Members[0].Status().LastPosition)
	_, err = c.Exec(f.ctx, "INSERT INTO t (key, value) VALUES ('q', 'q')")
	require.Equal(t, stateReadOnlyTransaction, sqlState(t, err))
}

// TestFence guards against writes, log entries and promotions in a term that a fence has ended.
func TestFence(t *testing.T) {
	f := newFixture(t, 3, 2, 16, ServiceOptions{})
	c, m := f.connect(0), f.Info.Members
	_, err := f.client.Fence(f.ctx, m[0], 1, "p")
	require.ErrorIs(t, err, platform.ErrFenced)

	f.exec(c, "BEGIN")
	f.exec(c, "INSERT INTO t (key, value) VALUES ('a', '1')")
	for range 2 { // repeating a fence succeeds
		s, err := f.client.Fence(f.ctx, m[0], 4, "p")
		require.NoError(t, err)
		require.Equal(t, platform.RoleFenced, s.Role)
	}
	_, err = c.Exec(f.ctx, "COMMIT")
	require.Equal(t, stateReadOnlyTransaction, sqlState(t, err))
	require.Equal(t, byte('I'), c.PgConn().TxStatus())
	_, err = c.Exec(f.ctx, "INSERT INTO t (key, value) VALUES ('a', '1')")
	require.Equal(t, stateReadOnlyTransaction, sqlState(t, err))

	_, err = f.client.Fence(f.ctx, m[0], 4, "q")
	require.ErrorIs(t, err, platform.ErrFenced)
	_, err = f.client.Promote(f.ctx, m[0], 4, "q")
	require.ErrorIs(t, err, platform.ErrFenced)
	_, err = f.client.Promote(f.ctx, m[0], 3, "p")
	require.ErrorIs(t, err, platform.ErrFenced)
	_, err = f.client.Follow(f.ctx, m[0], 3, m[1])
	require.ErrorIs(t, err, platform.ErrFenced)

	s, err := f.client.Fence(f.ctx, m[1], 4, "p")
	require.NoError(t, err)
	e := f.Members[1].engine
	require.ErrorIs(t, e.appendReplicated(1, int(s.LastPosition), []entry{{Term: 1, Position: s.LastPosition + 1}}), errRefused)
	_, err = f.client.Promote(f.ctx, m[1], 4, "p")
	require.NoError(t, err)
	_, _, err = e.readLog(1, 1, 1)
	require.ErrorIs(t, err, errRefused)
}

// TestTransactionOfOldTerm guards against the commit of a transaction that wrote in an earlier term of the same
// primary.
func TestTransactionOfOldTerm(t *testing.T) {
	f := newFixture(t, 1, 2, 16, ServiceOptions{})
	c := f.connect(0)
	f.exec(c, "BEGIN")
	f.exec(c, "INSERT INTO t (key, value) VALUES ('a', '1')")
	_, err := f.client.Fence(f.ctx, f.Info.Members[0], 2, "p")
	require.NoError(t, err)
	_, err = f.client.Promote(f.ctx, f.Info.Members[0], 2, "p")
	require.NoError(t, err)
	_, err = c.Exec(f.ctx, "COMMIT")
	require.Equal(t, stateReadOnlyTransaction, sqlState(t, err))
	require.Equal(t, "", f.value(c, "a"))
}

// TestDelayedAnswerDoesNotShortenLog guards against an old answer of the primary that arrives late and discards newer
// entries.
func TestDelayedAnswerDoesNotShortenLog(t *testing.T) {
	e := newEngine("m")
	e.setInitialRole(platform.RoleReplica, 2)
	all := []entry{{Term: 1, Position: 1}, {Term: 2, Position: 2}, {Term: 2, Position: 3}}
	require.NoError(t, e.appendReplicated(2, 0, all))
	require.NoError(t, e.appendReplicated(2, 0, all[:2]))
	require.Equal(t, 3, e.logLength())
}
