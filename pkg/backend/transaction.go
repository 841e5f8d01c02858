package backend

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// rollbackTimeout bounds the ROLLBACK of an abandoned transaction. The connection is closed if it takes longer.
const rollbackTimeout = time.Second

// takeConn returns the connection of the unit's transaction. A unit outside a transaction gets any connection.
func (p *Pool) takeConn(ctx context.Context, u *unit.Unit) (*conn, error) {
	if !u.Tx.Open() {
		return p.acquire(ctx, !u.Write)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.tx[u.Tx.ID]
	if c == nil {
		return nil, errkind.New(errkind.TransactionLost, "transaction %d is not open on member %s", u.Tx.ID, p.opts.Member.Name)
	}
	if c.txBusy {
		return nil, errkind.New(errkind.ProtocolViolation, "transaction %d is already running a unit", u.Tx.ID)
	}
	c.txBusy = true
	return c, nil
}

// finishUnit pins the connection to the transaction that the unit left open, releases it or closes it.
func (p *Pool) finishUnit(c *conn, u *unit.Unit, res unit.Result) unit.Result {
	p.mu.Lock()
	c.txBusy = false
	if c.broken || c.closeAfterUnit || (p.closed && c.txID != 0) {
		delete(p.tx, c.txID)
		p.mu.Unlock()
		p.discard(c)
		res.TxStatus, res.Tx = 'I', unit.TxRef{}
		return res
	}
	if res.TxStatus != 'I' {
		if c.txID == 0 {
			p.nextTx++
			c.txID = p.nextTx
			p.tx[c.txID] = c
		}
		p.mu.Unlock()
		res.Tx = unit.TxRef{VM: u.Tx.VM, Member: p.opts.Member.Name, ID: c.txID}
		return res
	}
	if c.txID != 0 {
		delete(p.tx, c.txID)
		c.txID = 0
	}
	p.mu.Unlock()
	p.release(c)
	return res
}

// Rollback ends an open transaction whose caller has gone. It does not wait for the member.
func (p *Pool) Rollback(id uint64) {
	p.mu.Lock()
	c := p.tx[id]
	if c == nil {
		p.mu.Unlock()
		return
	}
	if c.txBusy {
		c.closeAfterUnit = true
		p.mu.Unlock()
		return
	}
	delete(p.tx, id)
	c.txID = 0
	p.mu.Unlock()
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), rollbackTimeout)
		defer stop()
		msgs, _ := (&pgproto3.Query{String: "ROLLBACK"}).Encode(nil)
		u := &unit.Unit{Messages: msgs, Tx: unit.TxRef{ID: id}}
		res := c.runUnit(ctx, p, u, discardSink{})
		if res.TxStatus != 'I' || c.broken {
			p.discard(c)
			return
		}
		p.release(c)
	}()
}

type discardSink struct{}

func (discardSink) Write(context.Context, []byte) error { return nil }
