package member

import (
	"context"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

const (
	modelMembers  = 3
	modelMajority = 2
)

// model drives three engines without a network. Like a promoter, it fences a majority before it promotes the member
// with the newest log among the fenced ones.
type model struct {
	engines [modelMembers]*engine
	pullers [modelMembers]*puller
	primary map[platform.Term]int // the member promoted in a term, at most one
	term    platform.Term
	writes  int
	acked   map[string]bool // by key of a write: whether a majority held it in the term of the write
}

func newModel() *model {
	m := &model{primary: map[platform.Term]int{1: 0}, term: 1, acked: map[string]bool{}}
	for i := range m.engines {
		m.engines[i] = newEngine(strconv.Itoa(i))
		role := platform.RoleReplica
		if i == 0 {
			role = platform.RolePrimary
		}
		m.engines[i].setInitialRole(role, 1)
	}
	return m
}

func (m *model) write(i int) {
	e := m.engines[i]
	term, err := e.writableTerm()
	if err != nil {
		return
	}
	m.writes++
	key := strconv.Itoa(m.writes)
	p, err := e.commit(term, []op{{Kind: opInsert, Table: "t", Key: key}})
	if err != nil {
		return
	}
	// The write counts as acknowledged if a majority holds it after the replicas below have pulled.
	reported := 0
	for j := range m.engines {
		m.pull(j)
		m.pull(j)
		if s, _ := m.engines[j].status(); s.LastTerm == term && s.LastPosition >= p {
			reported++
		}
		if j != i && m.writes%3 == 0 {
			break // in every third write only one other member is reached
		}
	}
	m.acked[key] = reported >= modelMajority
}

// promote fences all members except skip, which is unreachable, and promotes the one with the newest log among them. It
// stops when a member refuses the fence.
func (m *model) promote(skip int) {
	m.term++
	best := -1
	for i, e := range m.engines {
		if i == skip {
			continue
		}
		if _, err := e.fence(m.term, "p"); err != nil {
			return
		}
		if best < 0 || hasNewerLog(e, m.engines[best]) {
			best = i
		}
	}
	if _, err := m.engines[best].promote(m.term, "p"); err == nil {
		m.primary[m.term] = best
	}
}

func hasNewerLog(a, b *engine) bool {
	aTerm, aPosition := a.lastEntryLocked()
	bTerm, bPosition := b.lastEntryLocked()
	return aTerm > bTerm || (aTerm == bTerm && aPosition > bPosition)
}

func (m *model) follow(i int) {
	p, ok := m.primary[m.term]
	if !ok || p == i {
		return
	}
	if _, err := m.engines[i].follow(m.term); err != nil {
		return
	}
	primary, term := m.engines[p], m.term
	m.pullers[i] = &puller{engine: m.engines[i], term: term, pullAllowed: func() bool { return true },
		fetch: func(_ context.Context, afterTerm platform.Term, after platform.Position) (logBatch, error) {
			b, _, err := primary.readLog(term, afterTerm, after)
			if len(b.Entries) > 2 {
				b.Entries = b.Entries[:2] // so that replication takes several batches
			}
			return b, err
		}}
}

func (m *model) pull(i int) {
	if p := m.pullers[i]; p != nil {
		_ = p.pullOnce(context.Background())
	}
}

// check checks the engines' invariants, that acknowledged writes exist at the primary, and that logs match: two logs
// that agree on the term of an entry agree on it and on all earlier entries.
func (m *model) check(t *rapid.T) {
	for i, a := range m.engines {
		for n, x := range a.log {
			require.Equal(t, platform.Position(n+1), x.Position)
			require.LessOrEqual(t, x.Term, a.fencedTerm)
		}
		fresh := newEngine("")
		fresh.log = a.log
		fresh.applyLocked(a.appliedEntries)
		require.Equal(t, fresh.tables["t"], a.tables["t"])
		for _, b := range m.engines[i+1:] {
			n := min(len(a.log), len(b.log))
			for n > 0 && a.log[n-1].Term != b.log[n-1].Term {
				n--
			}
			for k := range n {
				require.Equal(t, a.log[k].Ops, b.log[k].Ops)
			}
		}
	}
	if p, ok := m.primary[m.term]; ok {
		for key, acked := range m.acked {
			_, present := m.engines[p].tables["t"][key]
			require.True(t, present || !acked, "acknowledged write %s is missing at the primary of term %d", key, m.term)
		}
	}
}

// TestLogMatching guards against logs that differ although their last entries agree, data that differs from the
// applied log, and acknowledged writes lost by a promotion.
func TestLogMatching(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		for i := 1; i < modelMembers; i++ {
			m.follow(i)
		}
		member := rapid.IntRange(0, modelMembers-1)
		t.Repeat(map[string]func(*rapid.T){
			"write":   func(t *rapid.T) { m.write(member.Draw(t, "member")) },
			"promote": func(t *rapid.T) { m.promote(member.Draw(t, "unreachable")) },
			"follow":  func(t *rapid.T) { m.follow(member.Draw(t, "member")) },
			"pull":    func(t *rapid.T) { m.pull(member.Draw(t, "member")) },
			"apply": func(t *rapid.T) {
				e := m.engines[member.Draw(t, "member")]
				e.applyLocked(len(e.log))
			},
			"": m.check,
		})
	})
}
