package session

import (
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/clusterconfig"
	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// maxPrepared and maxValues bound what one session may keep.
const (
	maxPrepared = 1024
	maxValues   = 256
)

// Rules are what the configuration in force says about a session.
type Rules struct {
	Route clusterconfig.Route
	Class clusterconfig.Class
}

// Session is the state of one caller. It does no I/O.
type Session struct {
	rules    Rules // in force since the transaction began
	values   []unit.Value
	prepared map[string]prepared
	require  map[string]unit.Requirement // by service: the session's last write

	state    byte
	readOnly bool       // the open transaction only reads
	write    bool       // it runs on the primary
	ref      unit.TxRef // the open transaction at its member; not open before its first statement
	lost     bool       // it was ended by the system; the next statement is told
}

// New returns the state of a new session.
func New() *Session {
	return &Session{state: 'I', prepared: map[string]prepared{}, require: map[string]unit.Requirement{}}
}

// State returns 'I', 'T' or 'E'.
func (s *Session) State() byte { return s.state }

// Idle reports whether no transaction is open.
func (s *Session) Idle() bool { return s.state == 'I' }

// Abandon ends the open transaction at its member and returns it for the rollback. The caller learns it from the answer to
// its next statement.
func (s *Session) Abandon() unit.TxRef {
	ref := s.ref
	s.ref, s.lost = unit.TxRef{}, s.state == 'T'
	return ref
}

// Plan returns the unit that the statement needs, or its answer. The rules count from the next transaction on. rollback is
// a transaction that is to be rolled back.
func (s *Session) Plan(st Statement, rules func() (Rules, error)) (u *unit.Unit, a Answer, rollback unit.TxRef) {
	switch {
	case s.lost:
		return nil, s.answerLost(st), unit.TxRef{}
	case s.state == 'E' && st.Kind != KindCommit && st.Kind != KindRollback:
		return nil, s.refuse(st, errkind.ProtocolViolation, "the transaction has failed; only its end is accepted"), unit.TxRef{}
	}
	switch st.Kind {
	case KindSet, KindPrepare, KindDeallocate:
		return nil, s.keep(st), unit.TxRef{}
	case KindBegin, KindBeginRead:
		return nil, s.begin(st, rules), unit.TxRef{}
	case KindRollback:
		return s.planRollback(st)
	case KindCommit:
		return s.planCommit(st)
	case KindRead, KindWrite, KindExecute:
		u, a = s.planStatement(st, rules)
		return u, a, unit.TxRef{}
	}
	return nil, s.refuse(st, errkind.ProtocolViolation, "statement is not understood"), unit.TxRef{}
}

func (s *Session) answer(st Statement) Answer { return Answer{ID: st.ID, State: s.state} }

func (s *Session) refuse(st Statement, k errkind.Kind, text string) Answer {
	a := s.answer(st)
	a.Err = errkind.New(k, "%s", text)
	return a
}

func (s *Session) answerLost(st Statement) Answer {
	s.lost, s.state = false, 'E'
	if st.Kind == KindCommit || st.Kind == KindRollback {
		s.state = 'I'
	}
	if st.Kind == KindRollback {
		return s.answer(st)
	}
	return s.refuse(st, errkind.TransactionLost, "the transaction idled too long or its connection was lost")
}

// keep takes over a session command.
func (s *Session) keep(st Statement) Answer {
	switch st.Kind {
	case KindSet:
		return s.set(st)
	case KindPrepare:
		if len(s.prepared) >= maxPrepared {
			return s.refuse(st, errkind.BadParameter, "the session has too many prepared statements")
		}
		s.prepared[st.Name] = newPrepared(st)
	case KindDeallocate:
		delete(s.prepared, st.Name)
	}
	return s.answer(st)
}

func (s *Session) set(st Statement) Answer {
	values := make([]unit.Value, 0, len(s.values)+1) // units in progress share the old slice
	for _, v := range s.values {
		if v.Name != st.Name {
			values = append(values, v)
		}
	}
	if len(values) >= maxValues {
		return s.refuse(st, errkind.BadParameter, "the session has too many values")
	}
	s.values = append(values, unit.Value{Name: st.Name, Value: st.Value})
	return s.answer(st)
}

func (s *Session) begin(st Statement, rules func() (Rules, error)) Answer {
	if s.state != 'I' {
		return s.refuse(st, errkind.ProtocolViolation, "a transaction is open")
	}
	r, err := rules()
	if err != nil {
		a := s.answer(st)
		a.Err = err
		return a
	}
	s.rules, s.state, s.ref = r, 'T', unit.TxRef{}
	s.readOnly = st.Kind == KindBeginRead
	s.write = !s.readOnly || r.Class.Consistency == clusterconfig.ConsistencyPrimary
	return s.answer(st)
}

func (s *Session) planRollback(st Statement) (*unit.Unit, Answer, unit.TxRef) {
	if s.state == 'I' {
		return nil, s.refuse(st, errkind.ProtocolViolation, "no transaction is open"), unit.TxRef{}
	}
	ref := s.ref
	s.end()
	return nil, s.answer(st), ref
}

func (s *Session) planCommit(st Statement) (*unit.Unit, Answer, unit.TxRef) {
	switch s.state {
	case 'I':
		return nil, s.refuse(st, errkind.ProtocolViolation, "no transaction is open"), unit.TxRef{}
	case 'E':
		ref := s.ref
		s.end()
		return nil, s.refuse(st, errkind.TransactionLost, "the transaction had failed and was rolled back"), ref
	}
	return s.unit(st.Messages), Answer{}, unit.TxRef{}
}

func (s *Session) end() { s.state, s.ref = 'I', unit.TxRef{} }

func (s *Session) planStatement(st Statement, rules func() (Rules, error)) (*unit.Unit, Answer) {
	if s.state == 'I' {
		r, err := rules()
		if err != nil {
			a := s.answer(st)
			a.Err = err
			return nil, a
		}
		s.rules = r
	}
	messages, write := st.Messages, st.Kind == KindWrite
	var used []unit.Statement
	if st.Kind == KindExecute {
		p, ok := s.prepared[st.Name]
		if !ok {
			return nil, s.refuse(st, errkind.UnknownStatement, "no statement of this name is prepared")
		}
		write = p.write
		messages = append(append(append([]byte(nil), st.Messages...), p.shared...), st.Tail...)
		used = []unit.Statement{{Name: p.shared, Parse: p.parse}}
	}
	if s.state == 'I' {
		s.write = write
	}
	u := s.unit(messages)
	u.Statements = used
	return u, Answer{}
}

// unit describes what the session sends to a member.
func (s *Session) unit(messages []byte) *unit.Unit {
	c, r := s.rules.Class, s.rules.Route
	u := &unit.Unit{
		Service: r.Service, Class: c.Name, Rank: c.RankValue(), Target: time.Duration(r.Timeout),
		Write: s.write, Messages: messages, Values: s.values, Tx: s.ref,
		Begin: s.state == 'T' && !s.ref.Open(),
	}
	if u.Write || u.Tx.Open() {
		return u
	}
	switch c.Consistency {
	case clusterconfig.ConsistencyPrimary:
		u.ConfirmPrimary = true
	case clusterconfig.ConsistencyBounded:
		u.MaxAge = time.Duration(c.MaxAge)
	default:
		u.MaxAge, u.Require = time.Duration(c.MaxAge), s.require[r.Service]
	}
	return u
}

// Settle takes over the result of a unit and returns the caller's answer. messages is the member's answer. rollback is a
// transaction that is to be rolled back.
func (s *Session) Settle(st Statement, u *unit.Unit, res unit.Result, messages []byte) (a Answer, rollback unit.TxRef) {
	inTransaction := s.state == 'T'
	s.ref = res.Tx
	if res.Err == nil {
		s.settleDone(st, inTransaction, res)
		if u.Write && res.Term != 0 && s.state == 'I' {
			s.advance(u.Service, unit.Requirement{Term: res.Term, Position: res.Position})
		}
		a = s.answer(st)
		a.Messages, a.Term, a.Position = messages, res.Term, res.Position
		return a, unit.TxRef{}
	}
	ref := u.Tx
	if res.Tx.Open() {
		ref = res.Tx
	}
	s.ref = unit.TxRef{}
	err := res.Err
	switch {
	case !inTransaction:
	case st.Kind == KindCommit:
		s.end()
		if res.Outcome == errkind.OutcomeNotRun && u.Tx.Open() {
			err = errkind.Wrap(errkind.TransactionLost, err, "the transaction was not committed")
		}
	default:
		s.state = 'E'
		if res.Outcome != errkind.OutcomeNotRun { // the transaction never commits, so that nothing of it is kept
			err = errkind.Wrap(errkind.TransactionLost, err, "the transaction was rolled back")
		}
	}
	a = s.answer(st)
	a.Err = err
	return a, ref
}

func (s *Session) settleDone(st Statement, inTransaction bool, res unit.Result) {
	switch {
	case !inTransaction:
		s.ref = unit.TxRef{}
	case st.Kind == KindCommit && res.TxStatus == 'I':
		s.end()
	case res.TxStatus == 'E' || !res.Tx.Open():
		s.state = 'E'
	}
}

// advance raises what later reads of the session must see. A write in a later term counts also at a lower position: its
// log does not hold what the earlier term had beyond.
func (s *Session) advance(service string, r unit.Requirement) {
	old := s.require[service]
	if r.Term > old.Term || r.Term == old.Term && r.Position > old.Position {
		s.require[service] = r
	}
}
