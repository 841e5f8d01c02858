package session

import (
	"strings"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/clusterconfig"
	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// maxPreparedStatements and maxSessionValues bound the number of entries of one session; Memory bounds their size.
const (
	maxPreparedStatements = 1024
	maxSessionValues      = 256
)

// Policy is the route of a session's database, the class of that route and the team of the caller, as the configuration in
// force has them.
type Policy struct {
	Route clusterconfig.Route
	Class clusterconfig.Class
	Team  clusterconfig.Team // zero if the caller needs no key
}

// Session is the state of one caller's session: its values, its prepared statements, its open transaction and its last
// writes. It does no I/O: it plans the units that a Server executes, and takes their results. It is not safe for
// concurrent use.
type Session struct {
	policy     Policy // read when the transaction began, or before a statement outside transactions
	values     []unit.Value
	prepared   map[string]*definition
	state      *State                      // room for values and prepared
	lastWrites map[string]unit.Requirement // position of the session's last write, by service

	txStatus       byte
	readOnly       bool       // the open transaction only reads
	onPrimary      bool       // the transaction, or the statement outside transactions, runs on the primary
	tx             unit.TxRef // the open transaction at its member; not open before its first statement
	lossUnreported bool       // the transaction was abandoned, and the caller has not been told yet
}

// New returns a new session that keeps its values and prepared statements in state, which may be nil.
func New(state *State) *Session {
	return &Session{txStatus: 'I', prepared: map[string]*definition{}, state: state, lastWrites: map[string]unit.Requirement{}}
}

// Release gives up all that the session keeps between statements.
func (s *Session) Release() {
	for name, d := range s.prepared {
		s.state.drop(name, d)
	}
	for _, v := range s.values {
		s.state.give(valueBytes(v))
	}
	s.prepared, s.values = map[string]*definition{}, nil
}

// TxStatus returns 'I' outside transactions, 'T' in one and 'E' in a failed one.
func (s *Session) TxStatus() byte { return s.txStatus }

// Idle reports whether no transaction is open.
func (s *Session) Idle() bool { return s.txStatus == 'I' }

// BeginsOperation reports whether the statement is one outside a transaction or begins one.
func (s *Session) BeginsOperation(st Statement) bool {
	if s.txStatus != 'I' || s.lossUnreported {
		return false
	}
	switch st.Kind {
	case KindBegin, KindBeginReadOnly, KindRead, KindWrite, KindExecute:
		return true
	}
	return false
}

// Abandon gives up the open transaction and returns its reference, which is not open if no member holds the transaction.
// The caller of Abandon rolls it back. Unless the transaction had already failed, the next statement of the session is
// answered with its loss.
func (s *Session) Abandon() unit.TxRef {
	ref := s.tx
	s.tx, s.lossUnreported = unit.TxRef{}, s.txStatus == 'T'
	return ref
}

// Plan returns the unit that serves the statement, or, if u is nil, the answer to it. policy returns the policy in force;
// it is called when a transaction begins and for each statement outside transactions, so that a change of the
// configuration takes effect with the next transaction. If rollback is open, the caller of Plan rolls that transaction
// back.
func (s *Session) Plan(st Statement, policy func() (Policy, error)) (u *unit.Unit, a Answer, rollback unit.TxRef) {
	switch {
	case s.lossUnreported:
		return nil, s.reportLoss(st), unit.TxRef{}
	case s.txStatus == 'E' && st.Kind != KindCommit && st.Kind != KindRollback:
		return nil, s.errorAnswer(st, errkind.ProtocolViolation, "the transaction has failed; only a commit or a rollback is accepted"), unit.TxRef{}
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
	return nil, s.errorAnswer(st, errkind.ProtocolViolation, "the statement could not be decoded"), unit.TxRef{}
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
	return s.errorAnswer(st, errkind.TransactionLost, "the transaction was rolled back: it was idle too long or its connection was lost")
}

// answerSessionCommand carries out a command that changes only the session, without a member.
func (s *Session) answerSessionCommand(st Statement) Answer {
	switch st.Kind {
	case KindSet:
		return s.setValue(st)
	case KindPrepare:
		return s.prepareStatement(st)
	case KindDeallocate:
		s.deallocate(st.Name)
	}
	return s.emptyAnswer(st)
}

func (s *Session) prepareStatement(st Statement) Answer {
	if len(s.prepared) >= maxPreparedStatements {
		return s.errorAnswer(st, errkind.BadParameter, "the session has too many prepared statements")
	}
	name := strings.Clone(st.Name) // the decoder's name may be part of the whole message
	d := s.state.define(name, st)
	if d == nil {
		return s.errorAnswer(st, errkind.Overload, "no room for another prepared statement")
	}
	s.deallocate(name)
	s.prepared[name] = d
	return s.emptyAnswer(st)
}

func (s *Session) deallocate(name string) {
	if d, ok := s.prepared[name]; ok {
		s.state.drop(name, d)
		delete(s.prepared, name)
	}
}

// valueBytes returns about what the process needs for a session value.
func valueBytes(v unit.Value) int { return len(v.Name) + len(v.Value) + entryOverhead }

func (s *Session) setValue(st Statement) Answer {
	values := make([]unit.Value, 0, len(s.values)+1) // a new slice, since units in progress share the old one
	replaced := 0
	for _, v := range s.values {
		if v.Name != st.Name {
			values = append(values, v)
		} else {
			replaced = valueBytes(v)
		}
	}
	if len(values) >= maxSessionValues {
		return s.errorAnswer(st, errkind.BadParameter, "the session has set too many values")
	}
	v := unit.Value{Name: strings.Clone(st.Name), Value: strings.Clone(st.Value)}
	if !s.state.take(valueBytes(v)) {
		return s.errorAnswer(st, errkind.Overload, "no room for another session value")
	}
	s.state.give(replaced)
	s.values = append(values, v)
	return s.emptyAnswer(st)
}

func (s *Session) beginTransaction(st Statement, policy func() (Policy, error)) Answer {
	if s.txStatus != 'I' {
		return s.errorAnswer(st, errkind.ProtocolViolation, "a transaction is already open")
	}
	r, err := policy()
	if err != nil {
		a := s.emptyAnswer(st)
		a.Err = err
		return a
	}
	s.policy, s.txStatus, s.tx = r, 'T', unit.TxRef{}
	s.readOnly = st.Kind == KindBeginReadOnly
	s.onPrimary = !s.readOnly || r.Class.PrimaryReads()
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
			return nil, s.errorAnswer(st, errkind.UnknownStatement, "no prepared statement has this name")
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

// newUnit returns the unit that carries the messages to a member. It states what a read requires: the class demands
// confirmation by the primary or a maximum age, and by default the session's own writes as well.
func (s *Session) newUnit(messages []byte) *unit.Unit {
	class, route := s.policy.Class, s.policy.Route
	u := &unit.Unit{
		Service: route.Service, Class: class.Name, Team: s.policy.Team.Name, Rank: class.RankValue(), Target: time.Duration(route.Timeout),
		Write: s.onPrimary, Messages: messages, Values: s.values, Tx: s.tx,
		Begin: s.txStatus == 'T' && !s.tx.Open(),
	}
	if u.Write || u.Tx.Open() {
		return u
	}
	switch {
	case class.PrimaryReads():
		u.ConfirmPrimary = true
	case class.Consistency == clusterconfig.ConsistencyBounded:
		u.MaxAge = class.MaxAge
	default:
		u.MaxAge, u.Require = class.MaxAge, s.lastWrites[route.Service]
	}
	return u
}

// ApplyResult updates the session with the result of a unit that Plan returned for the statement, and returns the answer
// to the caller. messages is the member's answer. If rollback is open, the caller of ApplyResult rolls that transaction
// back.
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
		// The statement may have run, but the transaction cannot commit any more, so nothing of it takes effect.
		if res.Outcome != errkind.OutcomeNotRun {
			err = errkind.Wrap(errkind.TransactionLost, err, "the transaction was rolled back because a statement in it failed")
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

// raiseLastWrite raises the position that later reads of the session must see. A write in a later term replaces a higher
// position of an earlier term: the log of the later term does not hold the entries that the earlier term had beyond the
// promotion.
func (s *Session) raiseLastWrite(service string, r unit.Requirement) {
	old := s.lastWrites[service]
	if r.Term > old.Term || r.Term == old.Term && r.Position > old.Position {
		s.lastWrites[service] = r
	}
}
