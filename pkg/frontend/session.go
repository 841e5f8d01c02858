package frontend

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/token"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// session is one caller. While it is idle it holds no buffers: they are in the workspace, taken from a pool when bytes arrive.
type session struct {
	server         *Server
	conn           net.Conn
	rawConn        syscall.RawConn
	readDescriptor func(fd uintptr) bool // reads into the workspace; kept to avoid an allocation per wait
	workspace      *workspace

	pid, secret uint32

	database        string
	className       string // "" for the default class
	sessionID       string // sycamorehub.session
	serviceKey      string
	idempotencyKey  string
	applicationName string // application_name
	token           token.Token
	tokenText       string
	tokenFromCaller bool // the caller brought a token
	readOnly        bool // default_transaction_read_only
	txWritable      bool // access of the open transaction
	txStatus        byte
	txService       string // service of the open transaction
	tx              unit.TxRef
	// txAborted tells that the open transaction was lost, or rolled back since a unit in it was refused. Until the caller ends
	// it, all its statements are refused: run on their own, they would be half of a transaction.
	txAborted bool

	statements       map[string]*statement
	statementBytes   int
	unnamedStatement *statement // unnamed statement of an earlier unit, once a later unit used it
	unnamedParse     []byte     // its Parse body after the name

	unitStarted    atomic.Int64 // start of the unit in progress in Unix nanoseconds, 0 when idle
	closeRequested atomic.Bool  // draining has asked the idle session to end
	mu             sync.Mutex
	cancelRunning  context.CancelFunc // guarded by mu; cancels the unit in progress
	inTx           bool               // guarded by mu
}

// serve runs units until the caller leaves.
func (c *session) serve() {
	defer c.cleanUp()
	for {
		end, err := c.readUnit()
		if err != nil {
			c.reportReadError(err)
			return
		}
		if end || !c.runUnit() {
			return
		}
		c.workspace.reset()
		if c.workspace.pending() == 0 {
			putWorkspace(c.workspace)
			c.workspace = nil
		}
		if c.server.draining.Load() && !c.inTransaction() {
			c.sendFatal(c.drainError())
			return
		}
	}
}

func (c *session) drainError() error {
	return errkind.New(errkind.Draining, "entry VM %s is stopping", c.server.options.VMName)
}

func (c *session) inTransaction() bool { return c.txStatus != 'I' }

// cleanUp releases what the session holds. An open transaction is rolled back.
func (c *session) cleanUp() {
	if c.tx.Open() {
		c.server.options.Executor.Rollback(c.tx)
	}
	c.dropAllStatements()
	if c.workspace != nil {
		putWorkspace(c.workspace)
		c.workspace = nil
	}
}

// cancelUnit cancels the unit in progress, if any.
func (c *session) cancelUnit() {
	c.mu.Lock()
	if c.cancelRunning != nil {
		c.cancelRunning()
	}
	c.mu.Unlock()
}

// closeIfIdle ends the session if it is idle, with includeTx also when it idles in a transaction. It reports whether a unit
// is in progress; that one finishes.
func (c *session) closeIfIdle(includeTx bool) (busy bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancelRunning != nil {
		return true
	}
	if c.inTx && !includeTx {
		return false
	}
	c.closeRequested.Store(true)
	_ = c.conn.SetReadDeadline(time.Unix(1, 0))
	return false
}

// beginUnit marks the unit as in progress.
func (c *session) beginUnit(start time.Time, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(timeout))
	c.mu.Lock()
	c.cancelRunning = cancel
	c.mu.Unlock()
	c.unitStarted.Store(start.UnixNano())
	return ctx, cancel
}

func (c *session) finishUnit(cancel context.CancelFunc) {
	c.unitStarted.Store(0)
	c.mu.Lock()
	c.cancelRunning = nil
	c.inTx = c.inTransaction()
	if c.inTx && c.closeRequested.Load() { // asked to close just before the unit began a transaction, which may now finish
		c.closeRequested.Store(false)
		_ = c.conn.SetReadDeadline(time.Time{})
	}
	c.mu.Unlock()
	cancel()
}

// classInForce returns the session's class from the present configuration.
func (c *session) classInForce() (Class, error) {
	table := c.server.options.Classes()
	if table == nil {
		return Class{}, errkind.New(errkind.NotReady, "entry VM %s has no configuration yet", c.server.options.VMName)
	}
	if c.className == "" {
		return table.Default(), nil
	}
	class, ok := table.Lookup(c.className)
	if !ok {
		return Class{}, errkind.New(errkind.UnknownClass, "class %q is not configured", c.className)
	}
	return class, nil
}
