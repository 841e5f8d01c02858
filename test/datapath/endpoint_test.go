// Package datapath tests the path from a caller through frontend and backend to an endpoint.
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

// fakeEndpoint is a fake member that understands the few statements that the tests send.
type fakeEndpoint struct {
	listener     net.Listener
	mu           sync.Mutex
	recordedKeys map[string]string      // sycamorehub_request
	cancels      map[uint32]chan string // by pid
	silentUpTo   uint32                 // connections up to this pid give no answer any more
	conns        []net.Conn

	position, dials, parses, sleeping, openStatements, largeResults atomic.Int64
	readOnly, atConnectionLimit                                     atomic.Bool
	closeOnInsert                                                   atomic.Bool // closes the connection when an INSERT arrives
}

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

// silenceConnections makes the open connections give no answer any more.
func (e *fakeEndpoint) silenceConnections() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silentUpTo = uint32(e.dials.Load())
}

func (e *fakeEndpoint) member() platform.Member {
	return platform.Member{Name: "m1", Service: "svc", DataAddr: e.listener.Addr().String(), Slots: 4, Connections: 8}
}

// endpointConn is one connection at the endpoint.
type endpointConn struct {
	endpoint        *fakeEndpoint
	backend         *pgproto3.Backend
	nc              net.Conn
	pid             uint32
	cancel          chan string
	statements      map[string]string
	portalSQL       string
	portalParams    [][]byte
	txStatus        byte
	readOnly        bool // default_transaction_read_only
	unreportedWrite bool
	uncommittedKeys map[string]string // uncommitted
	skipToSync      bool
}

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

func (c *endpointConn) sendPosition() {
	c.backend.Send(&pgproto3.ParameterStatus{Name: "group_position", Value: "3/" + strconv.FormatInt(c.endpoint.position.Load(), 10)})
}

func (c *endpointConn) sendReady() {
	if c.unreportedWrite && c.txStatus == 'I' {
		c.sendPosition()
		c.unreportedWrite = false
	}
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: c.txStatus})
	_ = c.backend.Flush()
}

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

func textOIDs(n int) []uint32 {
	out := make([]uint32, n)
	for i := range out {
		out[i] = 25
	}
	return out
}

func rowDescription() *pgproto3.RowDescription {
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("v"), DataTypeOID: 25, DataTypeSize: -1, TypeModifier: -1}}}
}

func (c *endpointConn) sendError(code, message, table string) bool {
	c.backend.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: code, Message: message, TableName: table})
	c.skipToSync = true
	if c.txStatus == 'T' {
		c.txStatus = 'E'
	}
	return false
}

// runStatement runs one statement. It returns false after an error.
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
