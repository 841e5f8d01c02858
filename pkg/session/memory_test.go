package session

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
)

func prepareOf(name, shape string) Statement {
	return Statement{Kind: KindPrepare, Name: name, Parse: []byte("WRITE " + shape)}
}

func setOf(name, value string) Statement { return Statement{Kind: KindSet, Name: name, Value: value} }

// run carries out a session command and reports whether it was refused for want of room.
func (s *Session) run(t require.TestingT, st Statement) (refused bool) {
	u, a, _ := s.Plan(st, nil)
	require.Nil(t, u)
	if a.Err != nil {
		require.True(t, errkind.Is(a.Err, errkind.Overload), "%v", a.Err)
	}
	return a.Err != nil
}

// Guards against a process that outgrows its VM because each session keeps its own copy of the statements that all of them prepare.
func TestSessionsShareDefinitions(t *testing.T) {
	const sessions, statements, size = 40, 1000, 12 << 10
	m := NewMemory(42 << 20) // 15% of a VM of 284 MB
	var all []*Session
	for range sessions {
		s := New(m.NewState(func() { t.Error("a session was ended") }))
		for n := range statements {
			require.False(t, s.run(t, prepareOf(fmt.Sprint("s", n), fmt.Sprint("q", n, strings.Repeat("x", size)))))
		}
		all = append(all, s)
	}
	st := m.Stats()
	require.Equal(t, statements, st.Definitions)
	require.Less(t, st.Used, int64(statements*(size+sessions*256)))
	for _, s := range all {
		s.Release()
	}
	require.Zero(t, m.Stats().Used)
	require.Zero(t, m.Stats().Definitions)
}

// When the room is used up, the session that keeps most must make room, and one that keeps little must not be refused.
func TestSessionThatKeepsMostMakesRoom(t *testing.T) {
	m := NewMemory(1 << 20)
	var ended atomic.Int32
	var large *Session
	large = New(m.NewState(func() {
		ended.Add(1)
		large.Release()
	}))
	for n := 0; !large.run(t, prepareOf(fmt.Sprint("s", n), fmt.Sprint(n, strings.Repeat("x", 100<<10)))); n++ {
		require.Less(t, n, 11, "more than the limit")
	}
	require.Zero(t, ended.Load(), "the session that keeps most is refused, and goes on")
	small := New(m.NewState(func() { t.Error("the session that keeps little was ended") }))
	require.False(t, small.run(t, setOf("mode", "crew")))
	require.Zero(t, ended.Load(), "a session that keeps little needs no room of others")
	require.False(t, small.run(t, setOf("v", strings.Repeat("x", 200<<10))))
	require.EqualValues(t, 1, ended.Load())
}

// Each byte that is taken must be given back, in any order of commands and however definitions are shared.
func TestMemoryIsGivenBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewMemory(rapid.Int64Range(0, 20<<10).Draw(t, "limit"))
		sessions := make([]*Session, 3)
		for i := range sessions {
			sessions[i] = New(m.NewState(func() {}))
		}
		for range rapid.IntRange(0, 40).Draw(t, "commands") {
			s := sessions[rapid.IntRange(0, 2).Draw(t, "session")]
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
			text := strings.Repeat(rapid.SampledFrom([]string{"x", "y"}).Draw(t, "text"), rapid.IntRange(0, 3).Draw(t, "size")<<10)
			switch rapid.IntRange(0, 3).Draw(t, "command") {
			case 0:
				s.deallocate(name)
			case 1:
				s.Release()
			case 2:
				s.run(t, setOf(name, text))
			case 3:
				s.run(t, prepareOf(name, text))
			}
		}
		for _, s := range sessions {
			s.Release()
		}
		require.Zero(t, m.Stats().Used)
		require.Zero(t, m.Stats().Definitions)
	})
}
