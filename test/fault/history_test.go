package fault

import (
	"fmt"
	"math"
	"sort"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
)

// outcome is the outcome of a call as far as its caller knows it.
type outcome uint8

const (
	outcomeUnknown outcome = iota
	outcomeAcknowledged
	outcomeRefused
)

// access is one read or write of a register, with what its caller was told.
type access struct {
	key, value          string // value written or read; "" for a register that was never written
	write               bool
	confirmed           bool // a read that a confirmed primary served, so that it sees every write acknowledged before it
	outcome             outcome
	begin, end          time.Duration // times since the start of the history
	session             int
	ownWrite            *access // last acknowledged write of the key by the session of a read
	throughVM, servedBy string  // entry VM that was called, and member that answered
}

// history records the accesses of all sessions.
type history struct {
	start    time.Time
	mu       sync.Mutex
	accesses []*access
}

// elapsed returns the time since the start of the history.
func (h *history) elapsed() time.Duration { return time.Since(h.start) }

func (h *history) add(a *access) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.accesses = append(h.accesses, a)
}

// minAccesses is a number of acknowledged reads and of acknowledged writes. A history without more of both proves
// nothing.
const minAccesses = 10

// check verifies the history: refused writes are never seen, sessions read their own writes, and acknowledged writes
// and confirmed reads are linearizable for each key.
func (h *history) check(t *testing.T) {
	t.Helper()
	writes := map[string]*access{}
	for _, a := range h.accesses {
		if a.write {
			writes[a.value] = a
		}
	}
	counts := map[string]int{}
	for _, a := range h.accesses {
		counts[a.kind()]++
		if !a.write && a.outcome == outcomeAcknowledged {
			checkRead(t, a, writes[a.value])
		}
	}
	t.Logf("accesses by kind and outcome: %v", counts)
	require.Greater(t, counts["write acknowledged"], minAccesses, "too few accesses to prove anything")
	require.Greater(t, counts["read acknowledged"], minAccesses, "too few accesses to prove anything")
	res := porcupine.CheckOperationsTimeout(registerModel, checkedOperations(h.accesses, writes), time.Minute)
	require.Equal(t, porcupine.Ok, res, "acknowledged writes and confirmed reads are not linearizable")
}

// kind returns the kind and outcome of the access in words.
func (a *access) kind() string {
	what := map[bool]string{true: "write", false: "read"}[a.write]
	return what + " " + [...]string{"unknown", "acknowledged", "refused"}[a.outcome]
}

// checkRead checks one served read against the write whose value it returned, which is nil if there is none.
func checkRead(t *testing.T, read, write *access) {
	t.Helper()
	where := fmt.Sprintf("read of %s by session %d through %s on %s at %v", read.key, read.session, read.throughVM, read.servedBy, read.begin)
	if write != nil {
		require.Equal(t, read.key, write.key, "%s returned a value of another key", where)
		require.NotEqual(t, outcomeRefused, write.outcome, "%s returned %q, whose write was refused", where, read.value)
		require.Less(t, write.begin, read.end, "%s returned %q before it was written", where, read.value)
	}
	ownWrite := read.ownWrite
	if ownWrite == nil {
		return
	}
	require.NotNil(t, write, "%s misses the session's write %q of %v", where, ownWrite.value, ownWrite.begin)
	older := write.outcome == outcomeAcknowledged && write.end < ownWrite.begin
	require.False(t, older, "%s returned %q, older than the session's write %q of %v", where, read.value, ownWrite.value, ownWrite.begin)
}

// checkedOperations returns the operations that are checked for linearizability. A write of unknown outcome may take
// effect at any later time or never. A confirmed primary may show a write that is not yet acknowledged and that is lost
// with this primary. So a read that returned a value of unknown outcome proves nothing, unless it is the last one of
// its key, made after all failures.
func checkedOperations(accesses []*access, writes map[string]*access) []porcupine.Operation {
	lastReads := map[string]*access{}
	for _, access := range accesses {
		if !access.write && access.confirmed && access.outcome == outcomeAcknowledged && (lastReads[access.key] == nil || access.begin > lastReads[access.key].begin) {
			lastReads[access.key] = access
		}
	}
	var operations []porcupine.Operation
	for i, access := range accesses {
		operation := porcupine.Operation{ClientId: i, Input: access, Call: int64(access.begin), Output: access.value, Return: int64(access.end)}
		switch write := writes[access.value]; {
		case access.outcome == outcomeRefused, !access.write && (!access.confirmed || access.outcome != outcomeAcknowledged):
			continue
		case access.write && access.outcome == outcomeUnknown:
			if lastReads[access.key] == nil || lastReads[access.key].value != access.value {
				continue // no read that counts has seen it, so it may take effect after all others
			}
			operation.Return = math.MaxInt64
		case !access.write && write != nil && write.outcome == outcomeUnknown && access != lastReads[access.key]:
			continue
		}
		operations = append(operations, operation)
	}
	return operations
}

// registerModel models one register for each key. The values written to a register are unique.
var registerModel = porcupine.Model{
	Partition: func(ops []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, o := range ops {
			k := o.Input.(*access).key
			byKey[k] = append(byKey[k], o)
		}
		var keys []string
		for k := range byKey {
			keys = append(keys, k)
		}
		sort.Strings(keys)
		var out [][]porcupine.Operation
		for _, k := range keys {
			out = append(out, byKey[k])
		}
		return out
	},
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		if a := input.(*access); a.write {
			return true, a.value
		}
		return state == output, state
	},
}

// TestHistoryCheck guards against a check of histories that accepts a wrong one or rejects a right one.
func TestHistoryCheck(t *testing.T) {
	newAccess := func(write bool, value string, result outcome, begin, end int) *access {
		return &access{key: "k", value: value, write: write, confirmed: true, outcome: result,
			begin: time.Duration(begin), end: time.Duration(end)}
	}
	writeOf := func(value string, result outcome, begin, end int) *access {
		return newAccess(true, value, result, begin, end)
	}
	readOf := func(value string, begin, end int) *access {
		return newAccess(false, value, outcomeAcknowledged, begin, end)
	}
	tests := []struct {
		name         string
		accesses     []*access
		linearizable bool
	}{
		{"last write read", []*access{writeOf("a", outcomeAcknowledged, 0, 1), writeOf("b", outcomeAcknowledged, 2, 3), readOf("b", 4, 5)}, true},
		{"acknowledged write lost", []*access{writeOf("a", outcomeAcknowledged, 0, 1), writeOf("b", outcomeAcknowledged, 2, 3), readOf("a", 4, 5)}, false},
		{"read goes back", []*access{writeOf("a", outcomeAcknowledged, 0, 1), writeOf("b", outcomeAcknowledged, 2, 9), readOf("b", 4, 5), readOf("a", 6, 7)}, false},
		{"unknown write took effect late", []*access{writeOf("a", outcomeUnknown, 0, 1), writeOf("b", outcomeAcknowledged, 2, 3), readOf("b", 4, 5), readOf("a", 6, 7)}, true},
		{"unknown write never took effect", []*access{writeOf("a", outcomeUnknown, 0, 1), writeOf("b", outcomeAcknowledged, 2, 3), readOf("b", 4, 5)}, true},
		{"lost write seen", []*access{writeOf("a", outcomeAcknowledged, 0, 1), writeOf("b", outcomeUnknown, 2, 3), readOf("b", 4, 5), readOf("a", 6, 7)}, true},
	}
	for _, tt := range tests {
		writes := map[string]*access{}
		for _, a := range tt.accesses {
			if a.write {
				writes[a.value] = a
			}
		}
		require.Equal(t, tt.linearizable, porcupine.CheckOperations(registerModel, checkedOperations(tt.accesses, writes)), tt.name)
	}
}
