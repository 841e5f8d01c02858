package member

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// errRefused is returned for operations that the member refuses because of its fence, its role or its lost state.
var errRefused = errors.New("refused by the member")

// opKind is the kind of a row change.
type opKind uint8

const (
	opInsert opKind = iota // fails when the key exists
	opUpsert
	opUpdate // no effect when the key is absent
	opDelete
)

// op is one change of one row.
type op struct {
	Kind  opKind `msgpack:"k"`
	Table string `msgpack:"t"`
	Key   string `msgpack:"i"`
	Value string `msgpack:"v"`
}

// entry is one log entry: the changes of one transaction. The first entry of a term has no changes.
type entry struct {
	Term     platform.Term     `msgpack:"t"`
	Position platform.Position `msgpack:"p"`
	Ops      []op              `msgpack:"o"`

	received time.Time // on a replica: when it arrived, from which the apply delay counts
}

// engine holds the log, the fence and the data of a member.
//
// Invariants:
//   - log[i].Position == i+1.
//   - Terms in the log never decrease, and fencedTerm is at least the term of every entry.
//   - tables holds exactly the effect of log[:appliedEntries].
//   - A primary has applied its whole log.
type engine struct {
	name string

	mu             sync.Mutex
	changed        chan struct{} // closed and replaced on every change
	role           platform.Role
	fencedTerm     platform.Term // lowest term accepted; a primary or replica has its role in this term
	fencedBy       string        // promoter of the fence in force; empty without a fence
	leaving        bool
	lostState      bool // an earlier process of this member held a fence and a log that are lost
	log            []entry
	appliedEntries int                          // length of the applied prefix of the log
	tables         map[string]map[string]string // values by table and key
}

func newEngine(name string) *engine {
	return &engine{
		name: name, role: platform.RoleFenced, changed: make(chan struct{}), tables: make(map[string]map[string]string),
	}
}

// notifyLocked wakes all goroutines that wait for a change. The caller holds e.mu.
func (e *engine) notifyLocked() {
	close(e.changed)
	e.changed = make(chan struct{})
}

// lastEntryLocked returns term and position of the last entry, or zeros for an empty log. The caller holds e.mu.
func (e *engine) lastEntryLocked() (platform.Term, platform.Position) {
	if len(e.log) == 0 {
		return 0, 0
	}
	last := &e.log[len(e.log)-1]
	return last.Term, last.Position
}

// status returns the member's status and a channel that is closed at the next change.
func (e *engine) status() (platform.Status, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.statusLocked(), e.changed
}

func (e *engine) statusLocked() platform.Status {
	s := platform.Status{
		Member: e.name, Role: e.role, FencedTerm: e.fencedTerm, FencedBy: e.fencedBy, Leaving: e.leaving,
		Applied: platform.Position(e.appliedEntries), LostState: e.lostState,
	}
	s.LastTerm, s.LastPosition = e.lastEntryLocked()
	if e.appliedEntries > 0 {
		s.AppliedTerm = e.log[e.appliedEntries-1].Term
	}
	return s
}

func (e *engine) setLeaving(v bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving != v {
		e.leaving = v
		e.notifyLocked()
	}
}

// setInitialRole sets the role and term in which the member starts, without a fence.
func (e *engine) setInitialRole(role platform.Role, term platform.Term) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.role, e.fencedTerm = role, term
	if role == platform.RolePrimary {
		e.appendLocked(entry{Term: term})
	}
	e.notifyLocked()
}

// markStateLost records that the member held a fence and a log before and started again without them.
func (e *engine) markStateLost() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lostState = true
	e.notifyLocked()
}

// fence takes the member out of its role and refuses all lower terms from now on. Repeating the fence in force has no
// effect.
func (e *engine) fence(term platform.Term, promoterID string) (platform.Status, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case term > e.fencedTerm:
		e.role, e.fencedTerm, e.fencedBy = platform.RoleFenced, term, promoterID
		e.notifyLocked()
	case term == e.fencedTerm && promoterID == e.fencedBy:
	default:
		return e.statusLocked(), fmt.Errorf("%w: the fence in force is of term %d by %q, the request is of term %d by %q", errRefused, e.fencedTerm, e.fencedBy, term, promoterID)
	}
	return e.statusLocked(), nil
}

// promote makes the member the primary of term and appends the first entry of that term. A member that lost its state
// refuses. The promoter may have chosen it because of the log that it held before the loss, and a fence request that the
// promoter repeats after the loss succeeds as before.
func (e *engine) promote(term platform.Term, promoterID string) (platform.Status, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.lostState {
		return e.statusLocked(), fmt.Errorf("%w: the member lost its state; list it as a new member, under another name", errRefused)
	}
	if term != e.fencedTerm || promoterID != e.fencedBy {
		return e.statusLocked(), fmt.Errorf("%w: the fence in force is of term %d by %q, the request is of term %d by %q", errRefused, e.fencedTerm, e.fencedBy, term, promoterID)
	}
	if e.role != platform.RolePrimary {
		e.role = platform.RolePrimary
		e.applyLocked(len(e.log))
		e.appendLocked(entry{Term: term})
		e.notifyLocked()
	}
	return e.statusLocked(), nil
}

// follow makes the member a replica in term. A primary refuses to follow another member in its own term.
func (e *engine) follow(term platform.Term) (platform.Status, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if term < e.fencedTerm || (term == e.fencedTerm && e.role == platform.RolePrimary) {
		return e.statusLocked(), fmt.Errorf("%w: member has role %s and a fence of term %d, the request is of term %d", errRefused, e.role, e.fencedTerm, term)
	}
	if term > e.fencedTerm {
		e.fencedTerm, e.fencedBy = term, "" // no promoter holds the fence of this term here, so none can promote
	}
	e.role = platform.RoleReplica
	e.notifyLocked()
	return e.statusLocked(), nil
}

// appendLocked appends an entry at the next position and applies it. The member is the primary, and the caller holds
// e.mu.
func (e *engine) appendLocked(n entry) platform.Position {
	_, last := e.lastEntryLocked()
	n.Position = last + 1
	e.log = append(e.log, n)
	e.applyLocked(len(e.log))
	return n.Position
}

// applyLocked applies the entries of log[:n] that are not applied yet. The caller holds e.mu.
func (e *engine) applyLocked(n int) {
	for ; e.appliedEntries < n; e.appliedEntries++ {
		for _, o := range e.log[e.appliedEntries].Ops {
			e.applyOpLocked(o)
		}
	}
}

func (e *engine) applyOpLocked(o op) {
	t := e.tables[o.Table]
	if t == nil {
		t = make(map[string]string)
		e.tables[o.Table] = t
	}
	switch o.Kind {
	case opInsert, opUpsert:
		t[o.Key] = o.Value
	case opUpdate:
		if _, ok := t[o.Key]; ok {
			t[o.Key] = o.Value
		}
	case opDelete:
		delete(t, o.Key)
	}
}

// truncateLocked discards all entries after the first n. If some of them were applied, it rebuilds the tables from the
// remaining log. The caller holds e.mu.
func (e *engine) truncateLocked(n int) {
	if n >= len(e.log) {
		return
	}
	clear(e.log[n:])
	e.log = e.log[:n]
	if e.appliedEntries > n {
		e.appliedEntries = 0
		e.tables = make(map[string]map[string]string)
		e.applyLocked(n)
	}
}

// duplicateError is the error of an insert whose key exists in the table.
type duplicateError struct{ table, key string }

func (d *duplicateError) Error() string {
	return fmt.Sprintf("duplicate key value violates unique constraint %q", d.table+"_pkey")
}

// errNotPrimary is the error of a write on a member that is not the primary. Clients get it with SQLSTATE 25006.
var errNotPrimary = errors.New("member is not the primary of its service")

// writableTerm returns the term in which new writes take place, or errNotPrimary.
func (e *engine) writableTerm() (platform.Term, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.role != platform.RolePrimary {
		return 0, errNotPrimary
	}
	return e.fencedTerm, nil
}

// commit appends the changes as one entry of the given term and returns its position. It applies none of them when the
// member is no longer the primary of that term, or when an inserted key exists by now. Without changes it returns the
// last position.
func (e *engine) commit(term platform.Term, ops []op) (platform.Position, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.role != platform.RolePrimary || e.fencedTerm != term {
		return 0, errNotPrimary
	}
	if len(ops) == 0 {
		_, last := e.lastEntryLocked()
		return last, nil
	}
	if err := e.checkInsertsLocked(ops); err != nil {
		return 0, err
	}
	p := e.appendLocked(entry{Term: term, Ops: ops})
	e.notifyLocked()
	return p, nil
}

// checkInsertsLocked returns a duplicateError if an insert among ops meets an existing key, with the earlier changes of
// ops taken into account. The caller holds e.mu.
func (e *engine) checkInsertsLocked(ops []op) error {
	type row struct{ table, key string }
	present := make(map[row]bool, len(ops)) // rows changed so far: whether they exist after the changes
	for _, o := range ops {
		r := row{o.Table, o.Key}
		exists, changed := present[r]
		if !changed {
			_, exists = e.tables[o.Table][o.Key]
		}
		switch o.Kind {
		case opInsert:
			if exists {
				return &duplicateError{o.Table, o.Key}
			}
			present[r] = true
		case opUpsert:
			present[r] = true
		case opUpdate:
			present[r] = exists
		case opDelete:
			present[r] = false
		}
	}
	return nil
}

// committedValue returns the value of an applied row and reports whether the row exists.
func (e *engine) committedValue(table, key string) (string, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	v, ok := e.tables[table][key]
	return v, ok
}

// committedTable returns a copy of the applied rows of a table.
func (e *engine) committedTable(table string) map[string]string {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]string, len(e.tables[table]))
	for k, v := range e.tables[table] {
		out[k] = v
	}
	return out
}
