package scheduler

import (
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// transactionShare is the part of the transaction limit that a rank and those below it may hold together. A flood of
// batch transactions can then not take the connections that urgent work needs.
var transactionShare = [unit.RankCount]float64{unit.RankUrgent: 1, unit.RankRoutine: 0.8, unit.RankBatch: 0.6}

// OpenTransaction is a transaction that stays open between units and holds one connection.
type OpenTransaction struct {
	rank  unit.Rank
	began time.Duration
	ended bool
}

// EndTransaction gives the connection of a transaction back. A second call has no effect.
func (p *Policy) EndTransaction(at time.Time, t *OpenTransaction) {
	if t.ended {
		return
	}
	t.ended = true
	p.openTransactions[t.rank]--
	p.transactionDuration.add(p.offset(at) - t.began)
}

func (p *Policy) openTransactionCount() int {
	n := 0
	for _, o := range p.openTransactions {
		n += o
	}
	return n
}

// transactionLimit is the number of transactions that rank and those below it may hold together.
func (p *Policy) transactionLimit(rank unit.Rank) int {
	return max(1, int(transactionShare[rank]*float64(p.limits.Transactions)))
}

// mayBeginTransaction reports whether a transaction of the rank may be opened. The limit of the highest rank is that of all.
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
