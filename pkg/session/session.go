package session

import (
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/clusterconfig"
	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// maxPreparedStatements and maxSessionValues bound what one session may keep.
const (
	maxPreparedStatements = 1024
	maxSessionValues      = 256
)

// Policy is what the configuration in force says about a session.
type Policy struct {
	Route clusterconfig.Route
	Class clusterconfig.Class
}

// Session is the state of one caller. It does no I/O.
type Session struct {
	policy     Policy // in force since the transaction began
	values     []unit.Value
	prepared   map[string]preparedStatement
	lastWrites map[string]unit.Requirement // by service: the session's last write

	txStatus       byte
	readOnly       bool       // the open transaction only reads
	onPrimary      bool       // it runs on the primary
	tx             unit.TxRef // the open transaction at its member; not open before its first statement
	lossUnreported bool       // it was ended by the system; the next statement is told
}

// New returns the state of a new session.
func New() *Session {
	return &Session{txStatus: 'I', prepared: map[string]preparedStatement{}, lastWrites: map[string]unit.Requirement{}}
}

// TxStatus returns 'I', 'T' or 'E'.
func (s *Session) TxStatus() byte { return s.txStatus }

// Idle reports whether no transaction is open.
func (s *Session) Idle() bool { return s.txStatus == 'I' }

// Abandon ends the open transaction at its member and returns it for the rollback. The caller learns it from the answer to
// its next statement.
func (s *Session) Abandon() unit.TxRef {
	ref := s.tx
	s.tx, s.lossUnreported = unit.TxRef{}, s.txStatus == 'T'
	return ref
}

// Plan returns the unit that the statement needs, or its answer. The rules count from the next transaction on. rollback is
// a transaction that is to be rolled back.
func (s *Session) Plan(st Statement, policy func() (Policy, error)) (u *unit.Unit, a Answer, rollback unit.TxRef) {
	switch {
	case s.lossUnreported:
		return nil, s.reportLoss(st), unit.TxRef{}
	case s.txStatus == 'E' && st.Kind != KindCommit && st.Kind != KindRollback:
		return nil, s.errorAnswer(st, errkind.ProtocolViolation, "the transaction has failed; only its end is accepted"), unit.TxRef{}
	}
	switch st.Kind {
	case KindSet, KindPrepare, KindDeallocate:
		return nil, s.answerSessionCommand(st), unit.TxRef{}
	case KindBegin, KindBeginReadOnly:
		return nil, s.beginTransaction(st, policy), unit.TxRef{}
	case KindRollback:
		return s.planRollback(st)
	case KindCommit:
		return s.planCommit(st)
	case KindRead, KindWrite, KindExecute:
		u, a = s.planDataStatement(st, policy)
		return u, a, unit.TxRef{}
	}
	return nil, s.errorAnswer(st, errkind.ProtocolViolation, "statement is not understood"), unit.TxRef{}
}

func (s *Session) emptyAnswer(st Statement) Answer { return Answer{ID: st.ID, TxStatus: s.txStatus} }

func (s *Session) errorAnswer(st Statement, k errkind.Kind, text string) Answer {
	a := s.emptyAnswer(st)
	a.Err = errkind.New(k, "%s", text)
	return a
}

func (s *Session) reportLoss(st Statement) Answer {
	s.lossUnreported, s.txStatus = false, 'E'
	if st.Kind == KindCommit || st.Kind == KindRollback {
		s.txStatus = 'I'
	}
	if st.Kind == KindRollback {
		return s.emptyAnswer(st)
	}
	return s.errorAnswer(st, errkind.TransactionLost, "the transaction idled too long or its connection was lost")
}

// answerSessionCommand takes over a session command.
func (s *Session) answerSessionCommand(st Statement) Answer {
	switch st.Kind {
	case KindSet:
		return s.setValue(st)
	case KindPrepare:
		if len(s.prepared) >= maxPreparedStatements {
			return s.errorAnswer(st, errkind.BadParameter, "the session has too many prepared statements")
		}
		s.prepared[st.Name] = newPreparedStatement(st)
	case KindDeallocate:
		delete(s.prepared, st.Name)
	}
	return s.emptyAnswer(st)
}

func (s *Session) setValue(st Statement) Answer {
	values := make([]unit.Value, 0, len(s.values)+1) // units in progress share the old slice
	for _, v := range s.values {
		if v.Name != st.Name {
			values = append(values, v)
		}
	}
	if len(values) >= maxSessionValues {
		return s.errorAnswer(st, errkind.BadParameter, "the session has too many values")
	}
	s.values = append(values, unit.Value{Name: st.Name, Value: st.Value})
	return s.emptyAnswer(st)
}

func (s *Session) beginTransaction(st Statement, policy func() (Policy, error)) Answer {
	if s.txStatus != 'I' {
		return s.errorAnswer(st, errkind.ProtocolViolation, "a transaction is open")
	}
	r, err := policy()
	if err != nil {
		a := s.emptyAnswer(st)
		a.Err = err
		return a
	}
	s.policy, s.txStatus, s.tx = r, 'T', unit.TxRef{}
	s.readOnly = st.Kind == KindBeginReadOnly
	s.onPrimary = !s.readOnly || r.Class.Consistency == clusterconfig.ConsistencyPrimary
	return s.emptyAnswer(st)
}

func (s *Session) planRollback(st Statement) (*unit.Unit, Answer, unit.TxRef) {
	if s.txStatus == 'I' {
		return nil, s.errorAnswer(st, errkind.ProtocolViolation, "no transaction is open"), unit.TxRef{}
	}
	ref := s.tx
	s.endTransaction()
	return nil, s.emptyAnswer(st), ref
}

func (s *Session) planCommit(st Statement) (*unit.Unit, Answer, unit.TxRef) {
	switch s.txStatus {
	case 'I':
		return nil, s.errorAnswer(st, errkind.ProtocolViolation, "no transaction is open"), unit.TxRef{}
	case 'E':
		ref := s.tx
		s.endTransaction()
		return nil, s.errorAnswer(st, errkind.TransactionLost, "the transaction had failed and was rolled back"), ref
	}
	return s.newUnit(st.Messages), Answer{}, unit.TxRef{}
}

func (s *Session) endTransaction() { s.txStatus, s.tx = 'I', unit.TxRef{} }

func (s *Session) planDataStatement(st Statement, policy func() (Policy, error)) (*unit.Unit, Answer) {
	if s.txStatus == 'I' {
		r, err := policy()
		if err != nil {
			a := s.emptyAnswer(st)
			a.Err = err
			return nil, a
		}
		s.policy = r
	}
	messages, write := st.Messages, st.Kind == KindWrite
	var used []unit.Statement
	if st.Kind == KindExecute {
		p, ok := s.prepared[st.Name]
		if !ok {
			return nil, s.errorAnswer(st, errkind.UnknownStatement, "no statement of this name is prepared")
		}
		write = p.writes
		messages = append(append(append([]byte(nil), st.Messages...), p.sharedName...), st.AfterName...)
		used = []unit.Statement{{Name: p.sharedName, Parse: p.parse}}
	}
	if s.txStatus == 'I' {
		s.onPrimary = write
	}
	u := s.newUnit(messages)
	u.Statements = used
	return u, Answer{}
}

// newUnit describes what the session sends to a member.
func (s *Session) newUnit(messages []byte) *unit.Unit {
	class, route := s.policy.Class, s.policy.Route
	u := &unit.Unit{
		Service: route.Service, Class: class.Name, Rank: class.RankValue(), Target: time.Duration(route.Timeout),
		Write: s.onPrimary, Messages: messages, Values: s.values, Tx: s.tx,
		Begin: s.txStatus == 'T' && !s.tx.Open(),
	}
	if u.Write || u.Tx.Open() {
		return u
	}
	switch class.Consistency {
	case clusterconfig.ConsistencyPrimary:
		u.ConfirmPrimary = true
	case clusterconfig.ConsistencyBounded:
		u.MaxAge = time.Duration(class.MaxAge)
	default:
		u.MaxAge, u.Require = time.Duration(class.MaxAge), s.lastWrites[route.Service]
	}
	return u
}

// ApplyResult takes over the result of a unit and returns the caller's answer. messages is the member's answer. rollback is a
// transaction that is to be rolled back.
func (s *Session) ApplyResult(st Statement, u *unit.Unit, res unit.Result, messages []byte) (a Answer, rollback unit.TxRef) {
	inTransaction := s.txStatus == 'T'
	s.tx = res.Tx
	if res.Err == nil {
		s.applySuccess(st, inTransaction, res)
		if u.Write && res.Term != 0 && s.txStatus == 'I' {
			s.raiseLastWrite(u.Service, unit.Requirement{Term: res.Term, Position: res.Position})
		}
		a = s.emptyAnswer(st)
		a.Messages, a.Term, a.Position = messages, res.Term, res.Position
		return a, unit.TxRef{}
	}
	ref := u.Tx
	if res.Tx.Open() {
		ref = res.Tx
	}
	s.tx = unit.TxRef{}
	err := res.Err
	switch {
	case !inTransaction:
	case st.Kind == KindCommit:
		s.endTransaction()
		if res.Outcome == errkind.OutcomeNotRun && u.Tx.Open() {
			err = errkind.Wrap(errkind.TransactionLost, err, "the transaction was not committed")
		}
	default:
		s.txStatus = 'E'
		if res.Outcome != errkind.OutcomeNotRun { // the transaction never commits, so that nothing of it is kept
			err = errkind.Wrap(errkind.TransactionLost, err, "the transaction was rolled back")
		}
	}
	a = s.emptyAnswer(st)
	a.Err = err
	return a, ref
}

func (s *Session) applySuccess(st Statement, inTransaction bool, res unit.Result) {
	switch {
	case !inTransaction:
		s.tx = unit.TxRef{}
	case st.Kind == KindCommit && res.TxStatus == 'I':
		s.endTransaction()
	case res.TxStatus == 'E' || !res.Tx.Open():
		s.txStatus = 'E'
	}
}

// raiseLastWrite raises what later reads of the session must see. A write in a later term counts also at a lower position: its
// log does not hold what the earlier term had beyond.
func (s *Session) raiseLastWrite(service string, r unit.Requirement) {
	old := s.lastWrites[service]
	if r.Term > old.Term || r.Term == old.Term && r.Position > old.Position {
		s.lastWrites[service] = r
	}
}
