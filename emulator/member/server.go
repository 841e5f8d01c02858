package member

import (
	"context"
	"crypto/rand"
	"crypto/subtle"
	"errors"
	"maps"
	"net"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	paramDefaultReadOnly = "default_transaction_read_only"
	paramGroupPosition   = "group_position"
	cancelKeyBytes       = 4 // length in protocol version 3.0
	startupTimeout       = 10 * time.Second
	// maxMessageBytes is the size limit of one message of a client.
	maxMessageBytes = 16 << 20
)

// defaultParams holds the run-time parameters of a new session.
var defaultParams = map[string]string{
	"server_version":              "16.0 (emulator)",
	"server_encoding":             "UTF8",
	"client_encoding":             "UTF8",
	"datestyle":                   "ISO, MDY",
	"integer_datetimes":           "on",
	"standard_conforming_strings": "on",
	"application_name":            "",
	"timezone":                    "UTC",
	"statement_timeout":           "0",
	paramDefaultReadOnly:          "off",
}

// reportedParams maps each parameter that the server reports on change to its name in ParameterStatus messages.
var reportedParams = map[string]string{
	"server_version": "server_version", "server_encoding": "server_encoding", "client_encoding": "client_encoding",
	"datestyle": "DateStyle", "integer_datetimes": "integer_datetimes", "application_name": "application_name",
	"standard_conforming_strings": "standard_conforming_strings", "timezone": "TimeZone", paramDefaultReadOnly: paramDefaultReadOnly,
}

// session serves one client connection.
type session struct {
	member    *Member
	conn      net.Conn
	backend   *pgproto3.Backend
	pid       uint32
	cancelKey []byte

	params             map[string]string // run-time parameters by lower-case name
	reported           map[string]string // values that the client was last told
	tx                 *transaction
	unreportedPosition string // group_position to report before the next ReadyForQuery; empty if none
	prepared           map[string]*preparedStatement
	portals            map[string]*portal
	skipToSync         bool // a message of the extended protocol failed; skip the rest up to Sync
	bufferedBytes      int  // bytes of rows sent to the buffer since the last flush

	statementCancel cancelHook
}

// acceptLoop accepts connections and serves each in a goroutine until the listener is closed.
func (m *Member) acceptLoop(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			if m.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			sleepContext(m.ctx, time.Millisecond)
			continue
		}
		s := &session{
			member: m, conn: conn, backend: pgproto3.NewBackend(conn, conn), params: maps.Clone(defaultParams),
			reported: make(map[string]string), prepared: make(map[string]*preparedStatement), portals: make(map[string]*portal),
		}
		s.backend.SetMaxBodyLen(maxMessageBytes)
		if m.register(s) {
			m.spawn(s.serve)
		} else {
			_ = conn.Close()
		}
	}
}

// register gives the session its process ID and cancel key. It returns false after Close.
func (m *Member) register(s *session) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return false
	}
	m.nextPID++
	s.pid = m.nextPID
	s.cancelKey = make([]byte, cancelKeyBytes)
	_, _ = rand.Read(s.cancelKey) // never fails
	m.sessions[s.pid] = s
	return true
}

func (m *Member) unregister(s *session) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.sessions, s.pid)
}

// serve serves the connection from its startup message to its end.
func (s *session) serve() {
	defer s.member.unregister(s)
	defer func() { _ = s.conn.Close() }()
	_ = s.conn.SetReadDeadline(time.Now().Add(startupTimeout))
	start, ok := s.receiveStartup()
	if !ok {
		return
	}
	if !s.member.counters.admitConnection(s.member.opts.Connections) {
		s.backend.Send(errorResponse(sqlErrorf(stateTooManyConnections, "sorry, too many clients already"), "FATAL"))
		_ = s.backend.Flush()
		return
	}
	defer s.member.counters.update(func(c *Counters) { c.Open-- })
	_ = s.conn.SetReadDeadline(time.Time{})
	if d := s.member.opts.ConnectDelay; d > 0 && !sleepContext(s.member.ctx, d) {
		return
	}
	if err := s.completeStartup(start); err == nil {
		s.messageLoop()
	}
}

// receiveStartup answers SSL, GSS and cancel requests and returns a copy of the startup message. It returns false when
// no session follows.
func (s *session) receiveStartup() (pgproto3.StartupMessage, bool) {
	for {
		msg, err := s.backend.ReceiveStartupMessage()
		if err != nil {
			return pgproto3.StartupMessage{}, false
		}
		switch msg := msg.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := s.conn.Write([]byte{'N'}); err != nil {
				return pgproto3.StartupMessage{}, false
			}
		case *pgproto3.CancelRequest:
			s.member.cancelStatement(msg.ProcessID, msg.SecretKey)
			return pgproto3.StartupMessage{}, false
		case *pgproto3.StartupMessage:
			return *msg, true
		}
	}
}

// cancelStatement cancels the running statement of the session with this process ID, if the cancel key matches.
func (m *Member) cancelStatement(pid uint32, cancelKey []byte) {
	m.mu.Lock()
	s := m.sessions[pid]
	m.mu.Unlock()
	if s != nil && subtle.ConstantTimeCompare(s.cancelKey, cancelKey) == 1 {
		m.counters.update(func(c *Counters) { c.CancelRequests++ })
		s.statementCancel.call()
	}
}

// completeStartup applies the parameters of the startup message and answers it. Every user is accepted without a
// password.
func (s *session) completeStartup(start pgproto3.StartupMessage) error {
	for name, v := range start.Parameters {
		name = strings.ToLower(name)
		if name == paramDefaultReadOnly {
			readOnly, err := normalizeBool(v)
			if err != nil {
				s.backend.Send(errorResponse(err, "FATAL"))
				_ = s.backend.Flush()
				return err
			}
			v = readOnly
		}
		s.params[name] = v
	}
	if start.ProtocolVersion != pgproto3.ProtocolVersion30 {
		s.backend.Send(&pgproto3.NegotiateProtocolVersion{})
	}
	s.backend.Send(&pgproto3.AuthenticationOk{})
	s.backend.Send(&pgproto3.BackendKeyData{ProcessID: s.pid, SecretKey: s.cancelKey})
	st := s.member.Status()
	s.unreportedPosition = formatPosition(st.FencedTerm, st.LastPosition)
	return s.sendReady()
}

// sendReady reports changed parameters, sends ReadyForQuery and flushes.
func (s *session) sendReady() error {
	for name, reportedName := range reportedParams {
		v := s.params[name]
		if last, ok := s.reported[name]; !ok || last != v {
			s.backend.Send(&pgproto3.ParameterStatus{Name: reportedName, Value: v})
			s.reported[name] = v
		}
	}
	if s.unreportedPosition != "" {
		s.backend.Send(&pgproto3.ParameterStatus{Name: paramGroupPosition, Value: s.unreportedPosition})
		s.unreportedPosition = ""
	}
	status := byte('I')
	switch {
	case s.tx == nil:
	case s.tx.failed:
		status = 'E'
	default:
		status = 'T'
	}
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: status})
	return s.flush()
}

func (s *session) flush() error {
	s.bufferedBytes = 0
	return s.backend.Flush()
}

// statementContext returns the context of one statement, which a cancel request ends. The caller calls the returned
// function when the statement is done.
func (s *session) statementContext() (context.Context, func()) {
	ctx, cancel := context.WithCancel(s.member.ctx)
	s.statementCancel.set(cancel)
	return ctx, func() {
		s.statementCancel.set(nil)
		cancel()
	}
}
