package member

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// errFenced is returned by control operations that the fence refuses.
var errFenced = errors.New("refused by the fence")

// opKind is the kind of one change.
type opKind uint8

const (
	opInsert opKind = iota // fails when the key exists
	opUpsert
	opUpdate // no effect when the key is absent
	opDelete
)

// op is one change of a row.
type op struct {
	Kind  opKind `msgpack:"k"`
	Table string `msgpack:"t"`
	Key   string `msgpack:"i"`
	Value string `msgpack:"v"`
}

// entry is one log entry. An entry without changes is the first one of a term.
type entry struct {
	Term     platform.Term     `msgpack:"t"`
	Position platform.Position `msgpack:"p"`
	Ops      []op              `msgpack:"o"`

	received time.Time // start of the apply delay
}

// engine holds the log, the fence and the data of a member.
//
// Invariants: log[i].Position == i+1; terms in the log never decrease; fenced >= the term of every entry;
// tables hold exactly the effect of log[:applied]; a primary has applied its whole log.
type engine struct {
	name string

	mu        sync.Mutex
	changed   chan struct{} // closed and replaced on every change
	role      platform.Role
	fenced    platform.Term // also the term in which the member is primary or replica
	fencedBy  string
	leaving   bool
	lostState bool // an earlier process of this name held a fence and a log
	log       []entry
	applied   int
	tables    map[string]map[string]string
}

func newEngine(name string) *engine {
	return &engine{
		name: name, role: platform.RoleFenced, changed: make(chan struct{}), tables: make(map[string]map[string]string),
	}
}

// notify wakes everything that waits for a change. e.mu is held.
func (e *engine) notify() {
	close(e.changed)
	e.changed = make(chan struct{})
}

// lastLocked returns term and position of the last entry. e.mu is held.
func (e *engine) lastLocked() (platform.Term, platform.Position) {
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
		Member: e.name, Role: e.role, FencedTerm: e.fenced, FencedBy: e.fencedBy, Leaving: e.leaving,
		Applied: platform.Position(e.applied), LostState: e.lostState,
	}
	s.LastTerm, s.LastPosition = e.lastLocked()
	if e.applied > 0 {
		s.AppliedTerm = e.log[e.applied-1].Term
	}
	return s
}

func (e *engine) setLeaving(v bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving != v {
		e.leaving = v
		e.notify()
	}
}

// configure sets the initial role in the first term, without a fence.
func (e *engine) configure(role platform.Role, term platform.Term) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.role, e.fenced = role, term
	if role == platform.RolePrimary {
		e.appendLocked(entry{Term: term})
	}
	e.notify()
}

// loseState marks the empty engine as that of a member that held a fence and a log before.
func (e *engine) loseState() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lostState = true
	e.notify()
}

// fence refuses everything below term from now on. Repeating the fence in force changes nothing.
func (e *engine) fence(term platform.Term, promoterID string) (platform.Status, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case term > e.fenced:
		e.role, e.fenced, e.fencedBy = platform.RoleFenced, term, promoterID
		e.notify()
	case term == e.fenced && promoterID == e.fencedBy:
	default:
		return e.statusLocked(), fmt.Errorf("%w: fence of term %d by %q, request has term %d by %q", errFenced, e.fenced, e.fencedBy, term, promoterID)
	}
	return e.statusLocked(), nil
}

// promote makes the member the primary of term and appends the first entry of that term. A member that lost its state
// refuses: an attempt may have chosen it for the log that it had, and a repeated fence looks like the earlier one.
func (e *engine) promote(term platform.Term, promoterID string) (platform.Status, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.lostState {
		return e.statusLocked(), fmt.Errorf("%w: the member lost its state; list it as a new member, under another name", errFenced)
	}
	if term != e.fenced || promoterID != e.fencedBy {
		return e.statusLocked(), fmt.Errorf("%w: fence of term %d by %q, request has term %d by %q", errFenced, e.fenced, e.fencedBy, term, promoterID)
	}
	if e.role != platform.RolePrimary {
		e.role = platform.RolePrimary
		e.applyLocked(len(e.log))
		e.appendLocked(entry{Term: term})
		e.notify()
	}
	return e.statusLocked(), nil
}

// follow makes the member a replica in term. A primary does not follow another one in its own term.
func (e *engine) follow(term platform.Term) (platform.Status, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if term < e.fenced || (term == e.fenced && e.role == platform.RolePrimary) {
		return e.statusLocked(), fmt.Errorf("%w: %s with fence of term %d, request has term %d", errFenced, e.role, e.fenced, term)
	}
	if term > e.fenced {
		e.fenced, e.fencedBy = term, "" // nobody holds a fence in this term here, so nobody can promote in it
	}
	e.role = platform.RoleReplica
	e.notify()
	return e.statusLocked(), nil
}

// appendLocked appends an entry at the next position and applies it. Only a primary does this.
func (e *engine) appendLocked(n entry) platform.Position {
	_, last := e.lastLocked()
	n.Position = last + 1
	e.log = append(e.log, n)
	e.applyLocked(len(e.log))
	return n.Position
}

// applyLocked applies the log up to n entries.
func (e *engine) applyLocked(n int) {
	for ; e.applied < n; e.applied++ {
		for _, o := range e.log[e.applied].Ops {
			e.applyOp(o)
		}
	}
}

func (e *engine) applyOp(o op) {
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

// truncateLocked discards all entries after the first n. Data that they changed is rebuilt from the log.
func (e *engine) truncateLocked(n int) {
	if n >= len(e.log) {
		return
	}
	clear(e.log[n:])
	e.log = e.log[:n]
	if e.applied > n {
		e.applied = 0
		e.tables = make(map[string]map[string]string)
		e.applyLocked(n)
	}
}

// duplicateError names the table whose unique key refused an insert.
type duplicateError struct{ table, key string }

func (d *duplicateError) Error() string {
	return fmt.Sprintf("duplicate key value violates unique constraint %q", d.table+"_pkey")
}

// errNotPrimary refuses a write (SQLSTATE 25006).
var errNotPrimary = errors.New("member is not the primary of its service")

// writableTerm returns the term of new writes, or errNotPrimary.
func (e *engine) writableTerm() (platform.Term, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.role != platform.RolePrimary {
		return 0, errNotPrimary
	}
	return e.fenced, nil
}

// commit appends the changes as one entry of the given term. It fails as a whole when the member is no longer the
// primary of that term, or when an inserted key exists by now. Without changes it returns the last position.
func (e *engine) commit(term platform.Term, ops []op) (platform.Position, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.role != platform.RolePrimary || e.fenced != term {
		return 0, errNotPrimary
	}
	if len(ops) == 0 {
		_, last := e.lastLocked()
		return last, nil
	}
	if err := e.checkInserts(ops); err != nil {
		return 0, err
	}
	p := e.appendLocked(entry{Term: term, Ops: ops})
	e.notify()
	return p, nil
}

// checkInserts looks for inserted keys that exist, taking earlier changes of the same transaction into account.
func (e *engine) checkInserts(ops []op) error {
	type row struct{ table, key string }
	own := make(map[row]bool, len(ops)) // presence after the changes so far
	for _, o := range ops {
		r := row{o.Table, o.Key}
		present, seen := own[r]
		if !seen {
			_, present = e.tables[o.Table][o.Key]
		}
		switch o.Kind {
		case opInsert:
			if present {
				return &duplicateError{o.Table, o.Key}
			}
			own[r] = true
		case opUpsert:
			own[r] = true
		case opUpdate:
			own[r] = present
		case opDelete:
			own[r] = false
		}
	}
	return nil
}

// value returns a committed value.
func (e *engine) value(table, key string) (string, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	v, ok := e.tables[table][key]
	return v, ok
}

// snapshot returns a copy of a committed table.
func (e *engine) snapshot(table string) map[string]string {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]string, len(e.tables[table]))
	for k, v := range e.tables[table] {
		out[k] = v
	}
	return out
}
