package scheduler

import (
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// transactionShare is the part of the transaction limit that a rank may hold together with all lower ranks. It keeps a
// flood of batch transactions from taking the connections that urgent work needs.
var transactionShare = [unit.RankCount]float64{unit.RankUrgent: 1, unit.RankRoutine: 0.8, unit.RankBatch: 0.6}

// OpenTransaction is the Policy's record of a transaction that stays open between units and holds one connection.
type OpenTransaction struct {
	rank  unit.Rank
	began time.Duration
	ended bool
}

// EndTransaction frees the connection of a transaction. Further calls have no effect.
func (p *Policy) EndTransaction(at time.Time, t *OpenTransaction) {
	if t.ended {
		return
	}
	t.ended = true
	p.openTransactions[t.rank]--
	p.transactionDuration.add(p.offset(at) - t.began)
}

// openTransactionCount returns the number of open transactions of all ranks.
func (p *Policy) openTransactionCount() int {
	n := 0
	for _, o := range p.openTransactions {
		n += o
	}
	return n
}

// transactionLimit returns how many transactions the rank may hold together with all lower ranks.
func (p *Policy) transactionLimit(rank unit.Rank) int {
	return max(1, int(transactionShare[rank]*float64(p.limits.Transactions)))
}

// mayBeginTransaction reports whether a transaction of the rank may be opened. The limits of the rank and of all
// higher ranks apply, since each of those includes the lower ranks. That of the highest rank is the limit of the
// member.
func (p *Policy) mayBeginTransaction(rank unit.Rank) bool {
	held := 0
	for r := unit.RankCount; r > 0; r-- {
		held += p.openTransactions[r-1]
		if r-1 <= rank && held >= p.transactionLimit(r-1) {
			return false
		}
	}
	return true
}
