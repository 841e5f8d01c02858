package member

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// transaction holds the changes of a transaction until it commits.
type transaction struct {
	implicit    bool // opened without BEGIN; ends with its Query message or at the next Sync
	failed      bool // a statement failed; only COMMIT and ROLLBACK are accepted
	readOnly    bool
	wrote       bool
	term        platform.Term // in which the writes take place, set by the first one
	ops         []op
	changedRows map[string]map[string]*string // changed rows by table and key; nil for a deleted row
	savedParams map[string]string             // run-time parameters at the start, restored by a rollback
	savedLocals map[string]string             // values before SET LOCAL, restored by a commit
}

// lookup returns the value of a row as the transaction sees it: with its own changes.
func (t *transaction) lookup(e *engine, table, key string) (string, bool) {
	if v, ok := t.changedRows[table][key]; ok {
		if v == nil {
			return "", false
		}
		return *v, true
	}
	return e.committedValue(table, key)
}

// rows returns the rows of a table as the transaction sees them: the keys in order, and the values by key.
func (t *transaction) rows(e *engine, table string) (keys []string, values map[string]string) {
	values = e.committedTable(table)
	for k, v := range t.changedRows[table] {
		if v == nil {
			delete(values, k)
		} else {
			values[k] = *v
		}
	}
	return slices.Sorted(maps.Keys(values)), values
}

// write records a change for the commit and returns the number of affected rows.
func (t *transaction) write(e *engine, o op) (int, error) {
	if t.readOnly {
		return 0, sqlErrorf(stateReadOnlyTransaction, "cannot execute a write in a read-only transaction")
	}
	term, err := e.writableTerm()
	if err != nil || (t.wrote && term != t.term) {
		return 0, errNotPrimary
	}
	t.term, t.wrote = term, true
	_, present := t.lookup(e, o.Table, o.Key)
	switch {
	case o.Kind == opInsert && present:
		return 0, &duplicateError{o.Table, o.Key}
	case (o.Kind == opUpdate || o.Kind == opDelete) && !present:
		return 0, nil
	}
	t.ops = append(t.ops, o)
	t.recordChange(o)
	return 1, nil
}

// recordChange makes a change visible to later statements of the transaction.
func (t *transaction) recordChange(o op) {
	if t.changedRows == nil {
		t.changedRows = make(map[string]map[string]*string)
	}
	if t.changedRows[o.Table] == nil {
		t.changedRows[o.Table] = make(map[string]*string)
	}
	if o.Kind == opDelete {
		t.changedRows[o.Table][o.Key] = nil
		return
	}
	t.changedRows[o.Table][o.Key] = &o.Value
}

// beginTransaction opens a transaction, or makes an open implicit one explicit unless implicit is set. mode is the
// access mode, empty for the default.
func (s *session) beginTransaction(implicit bool, mode string) {
	if s.tx == nil {
		s.tx = &transaction{
			implicit: implicit, readOnly: s.params[paramDefaultReadOnly] == "on",
			savedParams: maps.Clone(s.params), savedLocals: make(map[string]string),
		}
	}
	s.tx.implicit = s.tx.implicit && implicit
	switch mode {
	case "read only":
		s.tx.readOnly = true
	case "read write":
		s.tx.readOnly = false
	}
}

// commitTransaction commits the transaction. When it returns an error, the transaction has been rolled back.
func (s *session) commitTransaction() error {
	t := s.tx
	if !t.wrote {
		s.endTransaction(false)
		return nil
	}
	p, err := s.member.engine.commit(t.term, t.ops)
	s.endTransaction(err != nil)
	if err == nil {
		s.unreportedPosition = formatPosition(t.term, p)
	}
	return err
}

// endTransaction ends the transaction, if one is open, and restores run-time parameters: all of them after a rollback,
// else those that SET LOCAL changed.
func (s *session) endTransaction(rollback bool) {
	t := s.tx
	s.tx = nil
	if t == nil {
		return
	}
	if rollback {
		s.params = t.savedParams
		return
	}
	for name, v := range t.savedLocals {
		s.params[name] = v
	}
}

// setParam executes SET.
func (s *session) setParam(st *statement) error {
	value := st.setValue
	if st.option == "transaction_read_only" {
		return s.setTransactionReadOnly(value)
	}
	if st.option == paramDefaultReadOnly {
		readOnly, err := normalizeBool(value)
		if err != nil {
			return err
		}
		value = readOnly
	}
	if st.setLocal {
		if s.tx.implicit {
			return nil // PostgreSQL only warns that SET LOCAL has no effect outside a transaction block
		}
		if _, ok := s.tx.savedLocals[st.option]; !ok {
			s.tx.savedLocals[st.option] = s.params[st.option]
		}
	}
	s.params[st.option] = value
	return nil
}

func (s *session) setTransactionReadOnly(value string) error {
	if value == "" {
		return nil // the statement only sets an isolation level
	}
	readOnly, err := normalizeBool(value)
	if err != nil {
		return err
	}
	if readOnly == "off" && s.tx.readOnly && s.tx.wrote {
		return sqlErrorf(stateInvalidParameterValue, "transaction read-write mode must be set before any query")
	}
	s.tx.readOnly = readOnly == "on"
	return nil
}

// normalizeBool returns "on" or "off" for a Boolean parameter value.
func normalizeBool(v string) (string, error) {
	switch strings.ToLower(v) {
	case "on", "true", "yes", "1", "t":
		return "on", nil
	case "off", "false", "no", "0", "f", "default":
		return "off", nil
	}
	return "", sqlErrorf(stateInvalidParameterValue, "parameter requires a Boolean value, not %q", v)
}

// paramValue returns the value of a run-time parameter.
func (s *session) paramValue(name string) (string, error) {
	switch name {
	case "transaction_read_only":
		if s.tx.readOnly {
			return "on", nil
		}
		return "off", nil
	case "transaction_isolation":
		return "read committed", nil
	}
	v, ok := s.params[name]
	if !ok {
		return "", sqlErrorf(stateUndefinedObject, "unrecognized configuration parameter %q", name)
	}
	return v, nil
}

// formatPosition formats a log position as the value of the parameter group_position.
func formatPosition(term platform.Term, p platform.Position) string {
	return fmt.Sprintf("%d/%d", term, p)
}
