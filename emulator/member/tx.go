package member

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// transaction buffers the changes of one transaction until it commits.
type transaction struct {
	implicit    bool // ends with the Query or Sync in which it began
	failed      bool
	readOnly    bool
	wrote       bool
	term        platform.Term // of the first write
	ops         []op
	changedRows map[string]map[string]*string // changed rows by table and key; nil: deleted
	savedParams map[string]string             // run-time parameters at the start, restored by a rollback
	savedLocals map[string]string             // values before SET LOCAL, restored at the end
}

// lookup returns a value as the transaction sees it.
func (t *transaction) lookup(e *engine, table, key string) (string, bool) {
	if v, ok := t.changedRows[table][key]; ok {
		if v == nil {
			return "", false
		}
		return *v, true
	}
	return e.committedValue(table, key)
}

// rows returns a table as the transaction sees it, ordered by key.
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

// write buffers a change and returns the number of rows that it affects.
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

// beginTransaction opens a transaction. An implicit one that is open becomes explicit.
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

// commitTransaction ends the transaction and makes its changes visible. After an error it has been rolled back.
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

// endTransaction drops the transaction and restores run-time parameters.
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

// setParam changes a run-time parameter.
func (s *session) setParam(st *statement) error {
	value := st.setValue
	if st.option == "transaction_read_only" {
		return s.setTransactionReadOnly(value)
	}
	if st.option == paramDefaultReadOnly {
		on, err := normalizeBool(value)
		if err != nil {
			return err
		}
		value = on
	}
	if st.setLocal {
		if s.tx.implicit {
			return nil // PostgreSQL warns that SET LOCAL has no effect outside a transaction block
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
		return nil // only an isolation level
	}
	on, err := normalizeBool(value)
	if err != nil {
		return err
	}
	if on == "off" && s.tx.readOnly && s.tx.wrote {
		return sqlErrorf(stateInvalidParameterValue, "transaction read-write mode must be set before any query")
	}
	s.tx.readOnly = on == "on"
	return nil
}

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

// formatPosition returns the value of the parameter group_position.
func formatPosition(term platform.Term, p platform.Position) string {
	return fmt.Sprintf("%d/%d", term, p)
}
