package peer

import "github.com/sycamorehub/sycamorehub/pkg/unit"

// peerSessionKey identifies one run of a peer daemon.
type peerSessionKey struct {
	vm       string
	instance uint64
}

// peerSession holds the transactions that one run of a peer daemon has open here. It lasts as long as the peer has any data
// connection, so that the transactions outlive the replacement of a silent connection. They are rolled back when the last
// data connection ends. The server's mutex guards the fields.
type peerSession struct {
	key   peerSessionKey
	conns int // data connections
	txs   map[unit.TxRef]*openTx
}

// openTx is the state of an open transaction.
type openTx struct {
	unitRunning bool // a unit is running in the transaction
	rollbackDue bool // the transaction is to be rolled back when that unit ends
}

// joinSession adds a data connection to the session with key k, which it creates if needed.
func (s *Server) joinSession(k peerSessionKey) *peerSession {
	s.mu.Lock()
	defer s.mu.Unlock()
	ps := s.peerSessions[k]
	if ps == nil {
		ps = &peerSession{key: k, txs: map[unit.TxRef]*openTx{}}
		s.peerSessions[k] = ps
	}
	ps.conns++
	return ps
}

// leaveSession removes a data connection from the session. After the last one it rolls back the open transactions, except
// for those in which a unit is still running: endUnitTx rolls these back.
func (s *Server) leaveSession(ps *peerSession) {
	s.mu.Lock()
	ps.conns--
	var orphans []unit.TxRef
	if ps.conns == 0 {
		delete(s.peerSessions, ps.key)
		for tx, state := range ps.txs {
			if !state.unitRunning {
				orphans = append(orphans, tx)
				delete(ps.txs, tx)
			}
		}
	}
	s.mu.Unlock()
	for _, tx := range orphans {
		s.opts.Executor.Rollback(tx)
	}
}

// beginUnitTx marks the transaction of a unit that is about to run as in use.
func (s *Server) beginUnitTx(ps *peerSession, tx unit.TxRef) {
	if !tx.Open() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if ps.txs[tx] == nil {
		ps.txs[tx] = &openTx{}
	}
	ps.txs[tx].unitRunning = true
}

// endUnitTx replaces before, the transaction that a unit ran in, with after, the one that it has left open. If the peer has
// gone meanwhile or has asked for a rollback, after is rolled back at once.
func (s *Server) endUnitTx(ps *peerSession, before, after unit.TxRef) {
	if !before.Open() && !after.Open() {
		return
	}
	s.mu.Lock()
	state := ps.txs[before]
	rollbackDue := ps.conns == 0 || (state != nil && state.rollbackDue)
	delete(ps.txs, before)
	if after.Open() && !rollbackDue {
		ps.txs[after] = &openTx{}
	}
	s.mu.Unlock()
	if after.Open() && rollbackDue {
		s.opts.Executor.Rollback(after)
	}
}

// rollback rolls a transaction back at the peer's request, or, if a unit is running in it, once that unit ends.
func (s *Server) rollback(ps *peerSession, tx unit.TxRef) {
	s.mu.Lock()
	state := ps.txs[tx]
	if state != nil && state.unitRunning {
		state.rollbackDue = true
		s.mu.Unlock()
		return
	}
	delete(ps.txs, tx)
	s.mu.Unlock()
	s.opts.Executor.Rollback(tx)
}

// Transactions returns the number of open transactions begun by other daemons.
func (s *Server) Transactions() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, ps := range s.peerSessions {
		n += len(ps.txs)
	}
	return n
}
