// Package datapath tests the data path: caller, frontend, backend and endpoint.
package datapath

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/stretchr/testify/require"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// fakeEndpoint is a member that understands only the statements that the tests send.
type fakeEndpoint struct {
	listener     net.Listener
	mu           sync.Mutex
	recordedKeys map[string]string      // guarded by mu; table sycamorehub_request: answers by idempotency key
	cancels      map[uint32]chan string // guarded by mu; cancel channels of the connections by process id
	silentUpTo   uint32                 // guarded by mu; connections up to this process id answer nothing any more
	conns        []net.Conn             // guarded by mu

	// position counts the writes, dials the connections that were accepted, parses the Parse messages, sleeping the
	// "select sleep" in progress, openStatements the prepared statements of the connection that parsed last, and
	// largeResults the results of several rows that were written in full.
	position, dials, parses, sleeping, openStatements, largeResults atomic.Int64
	readOnly, atConnectionLimit                                     atomic.Bool
	closeOnInsert                                                   atomic.Bool // closes the connection when an INSERT arrives
}

// newFakeEndpoint starts an endpoint that is closed at the end of the test.
func newFakeEndpoint(t testing.TB) *fakeEndpoint {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	e := &fakeEndpoint{listener: listener, recordedKeys: map[string]string{}, cancels: map[uint32]chan string{}}
	go func() {
		for {
			nc, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(nc)
		}
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		e.mu.Lock()
		defer e.mu.Unlock()
		for _, c := range e.conns {
			_ = c.Close()
		}
	})
	return e
}

// silenceConnections makes the connections that were opened so far answer nothing any more, without closing them.
func (e *fakeEndpoint) silenceConnections() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silentUpTo = uint32(e.dials.Load())
}

func (e *fakeEndpoint) member() platform.Member {
	return platform.Member{Name: "m1", Service: "svc", DataAddr: e.listener.Addr().String(), Slots: 4, Connections: 8}
}

// endpointConn is the endpoint's side of one connection.
type endpointConn struct {
	endpoint        *fakeEndpoint
	backend         *pgproto3.Backend
	nc              net.Conn
	pid             uint32            // number of the connection, its process id towards the client
	cancel          chan string       // receives when the statement in progress is cancelled
	statements      map[string]string // SQL of the prepared statements by name
	portalSQL       string            // statement of the last Bind
	portalParams    [][]byte          // parameters of the last Bind
	txStatus        byte              // as in ReadyForQuery: idle 'I', in a transaction 'T', failed 'E'
	readOnly        bool              // default_transaction_read_only
	unreportedWrite bool              // a write since the position was last sent
	uncommittedKeys map[string]string // keys that the open transaction adds to recordedKeys
	skipToSync      bool              // an error occurred: messages before the next Sync are skipped
}

// serve handles one connection, which carries either a cancel request or a session.
func (e *fakeEndpoint) serve(nc net.Conn) {
	defer func() { _ = nc.Close() }()
	backend := pgproto3.NewBackend(nc, nc)
	startup, err := backend.ReceiveStartupMessage()
	if err != nil {
		return
	}
	if request, ok := startup.(*pgproto3.CancelRequest); ok {
		e.mu.Lock()
		cancel := e.cancels[request.ProcessID]
		e.mu.Unlock()
		if cancel != nil {
			select {
			case cancel <- "":
			default:
			}
		}
		return
	}
	if e.atConnectionLimit.Load() {
		backend.Send(&pgproto3.ErrorResponse{Severity: "FATAL", Code: "53300", Message: "too many connections"})
		_ = backend.Flush()
		return
	}
	pid := uint32(e.dials.Add(1))
	conn := &endpointConn{endpoint: e, backend: backend, nc: nc, pid: pid, cancel: make(chan string, 1), statements: map[string]string{}, txStatus: 'I', uncommittedKeys: map[string]string{}}
	e.mu.Lock()
	e.cancels[pid] = conn.cancel
	e.conns = append(e.conns, nc)
	e.mu.Unlock()
	backend.Send(&pgproto3.AuthenticationOk{})
	conn.sendPosition()
	backend.Send(&pgproto3.BackendKeyData{ProcessID: pid, SecretKey: []byte{1, 2, 3, 4}})
	conn.sendReady()
	for conn.handleMessage() {
	}
}

// sendPosition sends the position as the parameter group_position, with term 3.
func (c *endpointConn) sendPosition() {
	c.backend.Send(&pgproto3.ParameterStatus{Name: "group_position", Value: "3/" + strconv.FormatInt(c.endpoint.position.Load(), 10)})
}

// sendReady ends an answer. It sends the new position first when a write has been committed.
func (c *endpointConn) sendReady() {
	if c.unreportedWrite && c.txStatus == 'I' {
		c.sendPosition()
		c.unreportedWrite = false
	}
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: c.txStatus})
	_ = c.backend.Flush()
}

// handleMessage reads and answers one message. It returns false when the connection has ended.
func (c *endpointConn) handleMessage() bool {
	m, err := c.backend.Receive()
	if err != nil {
		return false
	}
	c.endpoint.mu.Lock()
	silent := c.pid <= c.endpoint.silentUpTo
	c.endpoint.mu.Unlock()
	if silent {
		return true
	}
	if c.skipToSync {
		if _, ok := m.(*pgproto3.Sync); !ok {
			return true
		}
	}
	switch m := m.(type) {
	case *pgproto3.Query:
		for _, sql := range strings.Split(strings.TrimRight(m.String, "; "), ";") {
			if !c.runStatement(strings.TrimSpace(sql), true) {
				break
			}
		}
		c.skipToSync = false
		c.sendReady()
	case *pgproto3.Parse:
		c.endpoint.parses.Add(1)
		if _, dup := c.statements[m.Name]; dup && m.Name != "" {
			c.sendError("42P05", "prepared statement exists", "")
			break
		}
		if m.Query == "syntax" {
			c.sendError("42601", "syntax error", "")
			break
		}
		c.statements[m.Name] = m.Query
		c.endpoint.openStatements.Store(int64(len(c.statements)))
		c.backend.Send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		sql, ok := c.statements[m.PreparedStatement]
		if !ok {
			c.sendError("26000", "no prepared statement "+m.PreparedStatement, "")
			break
		}
		c.portalSQL, c.portalParams = sql, append([][]byte(nil), m.Parameters...)
		c.backend.Send(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		c.sendDescription(m)
	case *pgproto3.Execute:
		c.runStatement(c.portalSQL, false)
	case *pgproto3.Close:
		delete(c.statements, m.Name)
		c.backend.Send(&pgproto3.CloseComplete{})
	case *pgproto3.Sync:
		c.skipToSync = false
		c.sendReady()
	case *pgproto3.Terminate:
		return false
	}
	return true
}

// sendDescription answers a Describe of a statement or of the portal.
func (c *endpointConn) sendDescription(m *pgproto3.Describe) {
	sql := c.portalSQL
	if m.ObjectType == 'S' {
		sql = c.statements[m.Name]
		c.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: textOIDs(strings.Count(sql, "$"))})
	}
	if strings.HasPrefix(sql, "select") {
		c.backend.Send(rowDescription())
		return
	}
	c.backend.Send(&pgproto3.NoData{})
}

// textOIDs returns n times 25, the OID of the type text.
func textOIDs(n int) []uint32 {
	oids := make([]uint32, n)
	for i := range oids {
		oids[i] = 25
	}
	return oids
}

// rowDescription describes rows of one text column.
func rowDescription() *pgproto3.RowDescription {
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("v"), DataTypeOID: 25, DataTypeSize: -1, TypeModifier: -1}}}
}

// sendError answers with an error, marks an open transaction as failed and returns false.
func (c *endpointConn) sendError(code, message, table string) bool {
	c.backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: code, Message: message, TableName: table})
	c.skipToSync = true
	if c.txStatus == 'T' {
		c.txStatus = 'E'
	}
	return false
}

// runStatement runs one statement, of a simple query or of the portal. It returns false after an error.
func (c *endpointConn) runStatement(sql string, simple bool) bool {
	tag, arg, _ := strings.Cut(sql, " ")
	tag = strings.ToUpper(tag)
	if c.txStatus == 'E' && tag != "ROLLBACK" && tag != "COMMIT" {
		return c.sendError("25P02", "transaction is aborted", "")
	}
	switch tag {
	case "BEGIN":
		c.txStatus = 'T'
	case "COMMIT", "ROLLBACK":
		tag = c.endTransaction(tag)
	case "SET":
		c.readOnly = strings.HasSuffix(sql, "on")
	case "INSERT":
		if !c.applyInsert(sql) {
			return false
		}
		tag = "INSERT 0 1"
		if strings.HasSuffix(sql, "five rows") {
			tag = "INSERT 0 5"
		}
	case "UPDATE":
		c.endpoint.mu.Lock()
		c.endpoint.recordedKeys[string(c.portalParams[0])] = string(c.portalParams[1])
		c.endpoint.mu.Unlock()
	case "COPY":
		return c.awaitCopyFail()
	case "SELECT":
		return c.runSelect(arg, simple)
	case "FAIL":
		return c.sendError("42601", "syntax error", "")
	}
	c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	return true
}

// endTransaction ends the open transaction and returns the command tag. A failed transaction is rolled back, also by
// COMMIT.
func (c *endpointConn) endTransaction(tag string) string {
	if c.txStatus == 'E' {
		tag = "ROLLBACK"
	}
	if tag == "COMMIT" {
		c.endpoint.mu.Lock()
		for k, v := range c.uncommittedKeys {
			c.endpoint.recordedKeys[k] = v
		}
		c.endpoint.mu.Unlock()
	} else {
		c.unreportedWrite = false
	}
	c.uncommittedKeys = map[string]string{}
	c.txStatus = 'I'
	return tag
}

// applyInsert runs an INSERT. An INSERT into sycamorehub_request records an idempotency key, and fails when the key is
// recorded already.
func (c *endpointConn) applyInsert(sql string) bool {
	if c.endpoint.closeOnInsert.Load() {
		_ = c.nc.Close()
		return false
	}
	if c.readOnly || c.endpoint.readOnly.Load() {
		return c.sendError("25006", "cannot execute INSERT in a read-only transaction", "")
	}
	if strings.Contains(sql, "sycamorehub_request") {
		key := string(c.portalParams[0])
		c.endpoint.mu.Lock()
		_, dup := c.endpoint.recordedKeys[key]
		c.endpoint.mu.Unlock()
		if dup {
			return c.sendError("23505", "duplicate key", "sycamorehub_request")
		}
		c.uncommittedKeys[key] = string(c.portalParams[1])
	}
	c.endpoint.position.Add(1)
	c.unreportedWrite = true
	return true
}

// awaitCopyFail asks for the data of a COPY and fails the statement when the client sends CopyFail.
func (c *endpointConn) awaitCopyFail() bool {
	c.backend.Send(&pgproto3.CopyInResponse{})
	_ = c.backend.Flush()
	for {
		m, err := c.backend.Receive()
		if err != nil {
			return false
		}
		if _, ok := m.(*pgproto3.CopyFail); ok {
			return c.sendError("57014", "COPY failed", "")
		}
	}
}

// runSelect answers "select ARG": "sleep" waits for a cancel request, "rows N" returns N rows of 1 KiB, "value" the
// recorded answer of the key in the first parameter, "$1" the first parameter, and any other text the text itself.
func (c *endpointConn) runSelect(arg string, simple bool) bool {
	var value []byte
	n := 1
	if simple {
		c.backend.Send(rowDescription())
	}
	switch kind, count, _ := strings.Cut(arg, " "); kind {
	case "sleep":
		c.endpoint.sleeping.Add(1)
		<-c.cancel
		c.endpoint.sleeping.Add(-1)
		return c.sendError("57014", "canceling statement due to user request", "")
	case "rows":
		n, _ = strconv.Atoi(count)
		value = make([]byte, 1024)
		for i := range value {
			value[i] = 'x'
		}
	case "value":
		c.endpoint.mu.Lock()
		value = []byte(c.endpoint.recordedKeys[string(c.portalParams[0])])
		c.endpoint.mu.Unlock()
	case "$1":
		value = c.portalParams[0]
	default:
		value = []byte(arg)
	}
	for i := range n {
		c.backend.Send(&pgproto3.DataRow{Values: [][]byte{value}})
		if i%1024 == 1023 && c.backend.Flush() != nil {
			return false
		}
	}
	if n > 1 {
		c.endpoint.largeResults.Add(1)
	}
	c.backend.Send(&pgproto3.CommandComplete{CommandTag: fmt.Appendf(nil, "SELECT %d", n)})
	return true
}
