package peer

import "github.com/sycamorehub/sycamorehub/pkg/unit"

// peerSessionKey names one run of a peer daemon.
type peerSessionKey struct {
	vm       string
	instance uint64
}

// peerSession holds the transactions that a peer has open here. It lasts as long as any data connection of that peer, so
// that replacing a silent connection keeps them; when the last one ends, they are rolled back. Fields are guarded by
// the server's mutex.
type peerSession struct {
	key   peerSessionKey
	conns int
	txs   map[unit.TxRef]*openTx
}

// openTx is the state of one open transaction.
type openTx struct {
	unitRunning bool // a unit runs in it
	rollbackDue bool // to be rolled back when that unit ends
}

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

// leaveSession ends a connection of the session. Transactions in which a unit still runs are left to settle.
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

// beginUnitTx marks the transaction of a unit that is about to run.
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

// endUnitTx records the transaction that is open after a unit. It is rolled back when the peer has gone meanwhile or has
// asked for it.
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

// rollback ends a transaction at the peer's request, after the unit that runs in it.
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
