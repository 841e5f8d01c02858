package frontend

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/membudget"
	"github.com/sycamorehub/sycamorehub/pkg/team"
	"github.com/sycamorehub/sycamorehub/pkg/token"
	"github.com/sycamorehub/sycamorehub/pkg/unit"
)

// session serves one caller. It holds a workspace, which contains all buffers, only while it is not idle: it takes
// one from a pool when bytes arrive.
type session struct {
	server         *Server
	conn           net.Conn
	rawConn        syscall.RawConn
	readDescriptor func(fd uintptr) bool // reads into workspace; kept to avoid an allocation per wait; nil without a descriptor
	workspace      *workspace            // nil while the session is idle

	room *membudget.Holder // what the messages of the unit take

	pid, secret uint32 // cancel key: process id and secret, as sent in BackendKeyData

	database        string
	key             team.KeyHash // of the key that the caller presented at startup
	className       string       // "" for the default class
	sessionID       string       // sycamorehub.session
	serviceKey      string       // sycamorehub.key: selects a service within the database
	idempotencyKey  string       // sycamorehub.idempotency_key: for the next unit that writes
	applicationName string       // application_name
	token           token.Token  // writes that reads of the session must cover
	tokenText       string       // sycamorehub.token: token as text
	tokenFromCaller bool         // the caller has set a token
	readOnly        bool         // default_transaction_read_only
	txWritable      bool         // the open transaction may write
	txStatus        byte         // 'I', 'T' or 'E', as in ReadyForQuery
	txService       string       // service of the open transaction
	txTeam          string       // team of the latest operation
	tx              unit.TxRef
	// txAborted is set when the open transaction was lost, or rolled back because a unit in it was refused. All its
	// statements are refused until the caller ends it: run on their own, they would be half of a transaction.
	txAborted bool

	statements       map[string]*statement // prepared statements by the names that the caller gave them
	statementBytes   int                   // size of statements
	unnamedStatement *statement            // unnamed statement of an earlier unit; nil until a later unit uses it
	unnamedParse     []byte                // body of its Parse message after the name

	unitStarted    atomic.Int64 // start of the unit in progress in Unix nanoseconds; 0 if there is none
	closeRequested atomic.Bool  // draining has asked the idle session to close
	mu             sync.Mutex
	cancelRunning  context.CancelFunc // guarded by mu; cancels the unit in progress; nil if there is none
	inTx           bool               // guarded by mu; inTransaction after the last unit, for closeIfIdle
	leaving        bool               // guarded by mu; the caller is told that its session ends
}

// serve runs units until the caller leaves or the server drains. It reports whether the caller was told why its session
// ends.
func (c *session) serve() (told bool) {
	defer c.cleanUp()
	reason := c.serveUnits()
	if reason == nil {
		return false
	}
	c.mu.Lock()
	c.leaving = true
	c.mu.Unlock()
	c.sendFatal(reason)
	return true
}

// serveUnits is serve without the end of the session. It returns what the caller is to be told, or nil if the caller left
// or its connection failed.
func (c *session) serveUnits() (reason error) {
	for {
		end, err := c.readUnit()
		if err != nil {
			return c.readFailure(err)
		}
		if end || !c.runUnit() {
			return nil
		}
		c.workspace.reset()
		if c.workspace.pending() == 0 {
			putWorkspace(c.workspace)
			c.workspace = nil
			c.room.Release()
		}
		if c.server.draining.Load() && !c.inTransaction() {
			return c.drainError()
		}
	}
}

// leaveTimeout is how long a caller has to close its connection after it was told that its session ends.
const leaveTimeout = time.Second

// awaitClose drops what the caller has sent before it learnt that its session ends, until the caller closes the connection
// or leaveTimeout has passed. Closing the connection with bytes unread would reset it, and a caller that is still writing
// would fail before it reads the reason.
func (c *session) awaitClose() {
	if half, ok := c.conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(leaveTimeout))
	var dropped [1 << 10]byte
	for {
		if _, err := c.conn.Read(dropped[:]); err != nil {
			return
		}
	}
}

func (c *session) drainError() error {
	return errkind.New(errkind.Draining, "entry VM %s is stopping", c.server.options.VMName)
}

func (c *session) inTransaction() bool { return c.txStatus != 'I' }

// cleanUp releases what the session holds, and rolls an open transaction back.
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

// closeIfIdle makes the session close if it is idle, with includeTx also if it is idle in a transaction. It reports
// whether a unit is in progress, which is left to finish.
func (c *session) closeIfIdle(includeTx bool) (busy bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancelRunning != nil {
		return true
	}
	if c.leaving || c.inTx && !includeTx {
		return false
	}
	c.closeRequested.Store(true)
	_ = c.conn.SetReadDeadline(time.Unix(1, 0))
	return false
}

// beginUnit marks a unit as in progress, so that it can be cancelled, and returns its context.
func (c *session) beginUnit(start time.Time, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithDeadline(c.server.units, start.Add(timeout))
	c.mu.Lock()
	c.cancelRunning = cancel
	c.mu.Unlock()
	c.unitStarted.Store(start.UnixNano())
	return ctx, cancel
}

// finishUnit marks the unit as finished and releases its context.
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

// classInForce returns the session's class from the configuration in force.
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
