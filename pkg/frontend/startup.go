package frontend

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"io"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/team"
)

const (
	// maxStartupBytes is PostgreSQL's own limit for the startup packet.
	maxStartupBytes    = 10000
	minStartupBytes    = 8 // length and code
	cancelRequestBytes = 16
	sslRequestCode     = 80877103
	gssRequestCode     = 80877104
	cancelRequestCode  = 80877102
	protocolMajor      = 3
	// maxEncryptionRequests allows one GSSENCRequest and one SSLRequest before the startup packet.
	maxEncryptionRequests = 2
)

// teamKeyParameter is the startup parameter with the key of the caller's team. It is neither kept nor shown.
const teamKeyParameter = systemParameterPrefix + "team_key"

// reportedParameters are sent to each caller at startup, since drivers read them. Connections to members are opened
// with the same values.
var reportedParameters = [...][2]string{
	{"server_version", "16.0"}, {"server_encoding", "UTF8"}, {"client_encoding", "UTF8"},
	{"DateStyle", "ISO, MDY"}, {"IntervalStyle", "postgres"}, {"TimeZone", "UTC"},
	{"integer_datetimes", "on"}, {"standard_conforming_strings", "on"}, {"is_superuser", "off"},
}

// startup reads the packets of a connection up to its startup packet, and answers them. ok is false without an error
// when the connection opens no session, as for a cancel request. A connection takes one of the limited startup slots
// when it asks for a session or for encryption; cancel requests, and connections that send nothing, take none.
func (c *session) startup() (ok bool, err error) {
	deadline := time.Now().Add(c.server.options.StartupTimeout)
	_ = c.conn.SetDeadline(deadline)
	var endStartup func()
	defer func() {
		if endStartup != nil {
			endStartup()
		}
	}()
	for range maxEncryptionRequests + 1 {
		code, body, err := c.readStartupPacket()
		if err != nil {
			return false, err
		}
		if body == nil {
			return false, nil
		}
		if endStartup == nil && code != cancelRequestCode {
			if endStartup, err = c.waitForAdmission(deadline); err != nil {
				return false, err
			}
		}
		switch code {
		case sslRequestCode, gssRequestCode:
			if err := c.answerEncryptionRequest(code); err != nil {
				return false, nil
			}
		case cancelRequestCode:
			c.handleCancelRequest(body)
			return false, nil
		default:
			return c.openSession(code, body)
		}
	}
	return false, errkind.New(errkind.ProtocolViolation, "too many encryption requests before the startup packet")
}

// waitForAdmission waits for a startup slot, at most until deadline. A caller that waited in vain is still told why,
// since sendFatal gives the answer a WriteTimeout of its own.
func (c *session) waitForAdmission(deadline time.Time) (done func(), err error) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	return c.server.startups.acquire(ctx, c.server.options.VMName)
}

// readStartupPacket returns the code of a packet and its body, which follows length and code. body is nil when
// nothing arrived.
func (c *session) readStartupPacket() (code uint32, body []byte, err error) {
	var head [minStartupBytes]byte
	if n, err := io.ReadFull(c.conn, head[:]); err != nil {
		if n == 0 {
			return 0, nil, nil // closed or timed out before the first byte, for example a health check
		}
		return 0, nil, errIncompleteStartupPacket()
	}
	n := binary.BigEndian.Uint32(head[:])
	if n < minStartupBytes || n > maxStartupBytes {
		return 0, nil, errkind.New(errkind.ProtocolViolation, "startup packet has %d bytes; its length must be %d to %d bytes", n, minStartupBytes, maxStartupBytes)
	}
	body = make([]byte, n-minStartupBytes)
	if _, err := io.ReadFull(c.conn, body); err != nil {
		return 0, nil, errIncompleteStartupPacket()
	}
	return binary.BigEndian.Uint32(head[4:]), body, nil
}

func errIncompleteStartupPacket() error {
	return errkind.New(errkind.ProtocolViolation, "startup packet is incomplete: the rest of it did not arrive")
}

// answerEncryptionRequest performs the TLS handshake, or refuses encryption that is not TLS or not configured.
func (c *session) answerEncryptionRequest(code uint32) error {
	if code != sslRequestCode || c.server.options.TLS == nil {
		_, err := c.conn.Write([]byte{'N'}) // refused
		return err
	}
	if _, err := c.conn.Write([]byte{'S'}); err != nil {
		return err
	}
	t := tls.Server(c.conn, c.server.options.TLS)
	c.conn = t
	return t.Handshake()
}

// handleCancelRequest cancels the running unit if this VM gave out its cancel key; otherwise it forwards the request.
func (c *session) handleCancelRequest(body []byte) {
	if len(body) != cancelRequestBytes-minStartupBytes {
		return
	}
	pid, secret := binary.BigEndian.Uint32(body), binary.BigEndian.Uint32(body[4:])
	if !c.server.Cancel(pid, secret) {
		c.server.options.ForwardCancel(pid, secret)
	}
}

// openSession checks the startup parameters, registers the session and answers the startup packet. ok is false
// without an error when the answer could not be written.
func (c *session) openSession(version uint32, body []byte) (ok bool, err error) {
	if version>>16 != protocolMajor {
		return false, errkind.New(errkind.ProtocolViolation, "protocol version %d.%d is not supported", version>>16, version&0xffff)
	}
	unknown, err := c.applyStartupParameters(body)
	if err != nil {
		return false, err
	}
	if _, err := c.server.options.Services.Resolve(c.database, c.serviceKey); err != nil {
		return false, err
	}
	if _, err := c.classInForce(); err != nil {
		return false, err
	}
	if _, err := c.server.options.Teams.Identify(c.database, c.key); err != nil {
		return false, err
	}
	// The deadline is cleared before registration, since draining sets one for registered sessions that are idle.
	_ = c.conn.SetReadDeadline(time.Time{})
	if err := c.server.register(c); err != nil {
		return false, err
	}
	out := make([]byte, 0, 512)
	if version&0xffff != 0 || len(unknown) > 0 {
		out, _ = (&pgproto3.NegotiateProtocolVersion{UnrecognizedOptions: unknown}).Encode(out)
	}
	out, _ = (&pgproto3.AuthenticationOk{}).Encode(out)
	for _, p := range reportedParameters {
		out = appendParameterStatus(out, p[0], p[1])
	}
	out = appendParameterStatus(out, "application_name", c.applicationName)
	out = append(out, 'K', 0, 0, 0, 12) // BackendKeyData
	out = binary.BigEndian.AppendUint32(out, c.pid)
	out = binary.BigEndian.AppendUint32(out, c.secret)
	out = appendReadyForQuery(out, 'I')
	if _, err := c.conn.Write(out); err != nil {
		c.server.unregister(c)
		return false, nil
	}
	c.initReader()
	return true, nil
}

// parseStartupParameters returns the name and value pairs of the startup packet, names in lower case.
func parseStartupParameters(body []byte) (map[string]string, error) {
	values := map[string]string{}
	for {
		name, rest, ok := cutString(body)
		if ok && len(name) == 0 {
			return values, nil
		}
		value, rest, ok2 := cutString(rest)
		if !ok || !ok2 {
			return nil, errkind.New(errkind.ProtocolViolation, "malformed startup packet: a parameter, or the list of them, lacks its terminating zero byte")
		}
		values[strings.ToLower(string(name))] = string(value)
		body = rest
	}
}

// applyStartupParameters applies the parameters of the startup packet. It returns the names of the protocol options,
// none of which is supported.
func (c *session) applyStartupParameters(body []byte) (unknown []string, err error) {
	values, err := parseStartupParameters(body)
	if err != nil {
		return nil, err
	}
	user := values["user"]
	c.database = values["database"]
	if user == "" {
		return nil, &sqlError{code: "28000", text: "startup packet has no user name"}
	}
	if c.database == "" {
		c.database = user
	}
	delete(values, "user")
	delete(values, "database")
	if err := expandStartupOptions(values); err != nil {
		return nil, err
	}
	c.key = team.Hash(values[teamKeyParameter])
	delete(values, teamKeyParameter)
	// The class is set first, since it decides which access modes are allowed.
	const class = systemParameterPrefix + "class"
	if v, ok := values[class]; ok {
		if err := c.setParameter(class, v); err != nil {
			return nil, err
		}
		delete(values, class)
	}
	for name, value := range values {
		if strings.HasPrefix(name, "_pq_.") {
			unknown = append(unknown, name)
			continue
		}
		if err := c.applyStartupParameter(name, value); err != nil {
			return nil, err
		}
	}
	return unknown, nil
}

func (c *session) applyStartupParameter(name, value string) error {
	switch name {
	case "timezone", "search_path", "lc_messages", "fallback_application_name":
		return nil // sent by drivers by default, and ignored
	case "replication":
		if on, ok := parseBool(value); ok && !on {
			return nil
		}
		return errkind.New(errkind.Unsupported, "replication connections are not supported")
	}
	return c.setParameter(name, value)
}

// expandStartupOptions replaces the parameter named options in values by the settings that it holds, each written as
// "-c name=value" or "--name=value".
func expandStartupOptions(values map[string]string) error {
	text := values["options"]
	delete(values, "options")
	words := strings.Fields(text)
	for i := 0; i < len(words); i++ {
		word := words[i]
		switch {
		case word == "-c" && i+1 < len(words):
			i++
			word = words[i]
		case strings.HasPrefix(word, "-c"):
			word = word[2:]
		case strings.HasPrefix(word, "--"):
			word = word[2:]
		default:
			return errkind.New(errkind.BadParameter, "startup option %q is not supported", word)
		}
		name, value, ok := strings.Cut(word, "=")
		if !ok {
			return errkind.New(errkind.BadParameter, "startup option %q has no value; write name=value", word)
		}
		values[strings.ReplaceAll(strings.ToLower(name), "-", "_")] = value
	}
	return nil
}
