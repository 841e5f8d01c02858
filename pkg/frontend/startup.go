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
)

const (
	// maxStartupBytes is PostgreSQL's own limit for the startup packet.
	maxStartupBytes    = 10000
	minStartupBytes    = 8
	cancelRequestBytes = 16
	sslRequestCode     = 80877103
	gssRequestCode     = 80877104
	cancelRequestCode  = 80877102
	protocolMajor      = 3
	// maxEncryptionRequests allows one GSSENCRequest and one SSLRequest before the startup packet.
	maxEncryptionRequests = 2
)

// reported are the parameters that drivers read at startup; the member's connections are opened with the same values.
var reported = [...][2]string{
	{"server_version", "16.0"}, {"server_encoding", "UTF8"}, {"client_encoding", "UTF8"},
	{"DateStyle", "ISO, MDY"}, {"IntervalStyle", "postgres"}, {"TimeZone", "UTC"},
	{"integer_datetimes", "on"}, {"standard_conforming_strings", "on"}, {"is_superuser", "off"},
}

// startup reads the startup packet and answers it. ok is false when the connection served another purpose. A caller
// takes its place among the startups in progress once it has sent a packet that asks for a session or for encryption;
// connections that send nothing and cancel requests take none.
func (c *session) startup() (ok bool, err error) {
	limit := time.Now().Add(c.srv.o.StartupTimeout)
	_ = c.nc.SetDeadline(limit)
	var done func()
	defer func() {
		if done != nil {
			done()
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
		if done == nil && code != cancelRequestCode {
			if done, err = c.enter(limit); err != nil {
				return false, err
			}
		}
		switch code {
		case sslRequestCode, gssRequestCode:
			if err := c.encrypt(code); err != nil {
				return false, nil
			}
		case cancelRequestCode:
			c.forwardCancel(body)
			return false, nil
		default:
			return c.greet(code, body)
		}
	}
	return false, errkind.New(errkind.ProtocolViolation, "too many encryption requests")
}

// enter waits until the startup may go on, at most until limit. The answer gets WriteTimeout of its own, since a caller
// that waited to the end is told why.
func (c *session) enter(limit time.Time) (done func(), err error) {
	ctx, cancel := context.WithDeadline(context.Background(), limit)
	defer cancel()
	return c.srv.startups.enter(ctx, c.srv.o.VMName)
}

// readStartupPacket returns a packet without its length and code. body is nil when the caller left before it.
func (c *session) readStartupPacket() (code uint32, body []byte, err error) {
	var head [minStartupBytes]byte
	if n, err := io.ReadFull(c.nc, head[:]); err != nil {
		if n == 0 {
			return 0, nil, nil // a health check, or a caller that changed its mind
		}
		return 0, nil, errIncomplete()
	}
	n := binary.BigEndian.Uint32(head[:])
	if n < minStartupBytes || n > maxStartupBytes {
		return 0, nil, errkind.New(errkind.ProtocolViolation, "startup packet of %d bytes is outside %d..%d", n, minStartupBytes, maxStartupBytes)
	}
	body = make([]byte, n-minStartupBytes)
	if _, err := io.ReadFull(c.nc, body); err != nil {
		return 0, nil, errIncomplete()
	}
	return binary.BigEndian.Uint32(head[4:]), body, nil
}

func errIncomplete() error {
	return errkind.New(errkind.ProtocolViolation, "the rest of the startup packet did not arrive")
}

func (c *session) encrypt(code uint32) error {
	if code != sslRequestCode || c.srv.o.TLS == nil {
		_, err := c.nc.Write([]byte{'N'})
		return err
	}
	if _, err := c.nc.Write([]byte{'S'}); err != nil {
		return err
	}
	t := tls.Server(c.nc, c.srv.o.TLS)
	c.nc = t
	return t.Handshake()
}

func (c *session) forwardCancel(body []byte) {
	if len(body) != cancelRequestBytes-minStartupBytes {
		return
	}
	pid, secret := binary.BigEndian.Uint32(body), binary.BigEndian.Uint32(body[4:])
	if !c.srv.Cancel(pid, secret) {
		c.srv.o.ForwardCancel(pid, secret)
	}
}

// greet checks the startup parameters, registers the session and answers.
func (c *session) greet(version uint32, body []byte) (ok bool, err error) {
	if version>>16 != protocolMajor {
		return false, errkind.New(errkind.ProtocolViolation, "protocol version %d.%d is not supported", version>>16, version&0xffff)
	}
	unknown, err := c.startupParameters(body)
	if err != nil {
		return false, err
	}
	if _, err := c.srv.o.Services.Resolve(c.database, c.key); err != nil {
		return false, err
	}
	if _, err := c.classInForce(); err != nil {
		return false, err
	}
	_ = c.nc.SetReadDeadline(time.Time{}) // before registration, since draining sets a deadline for idle sessions
	if err := c.srv.register(c); err != nil {
		return false, err
	}
	out := make([]byte, 0, 512)
	if version&0xffff != 0 || len(unknown) > 0 {
		out, _ = (&pgproto3.NegotiateProtocolVersion{UnrecognizedOptions: unknown}).Encode(out)
	}
	out, _ = (&pgproto3.AuthenticationOk{}).Encode(out)
	for _, p := range reported {
		out = appendParameter(out, p[0], p[1])
	}
	out = appendParameter(out, "application_name", c.app)
	out = append(out, 'K', 0, 0, 0, 12)
	out = binary.BigEndian.AppendUint32(out, c.pid)
	out = binary.BigEndian.AppendUint32(out, c.secret)
	out = appendReady(out, 'I')
	if _, err := c.nc.Write(out); err != nil {
		c.srv.unregister(c)
		return false, nil
	}
	c.initReader()
	return true, nil
}

// startupPairs returns the name and value pairs of the startup packet, names in lower case.
func startupPairs(body []byte) (map[string]string, error) {
	values := map[string]string{}
	for {
		name, rest, ok := cutString(body)
		if ok && len(name) == 0 {
			return values, nil
		}
		value, rest, ok2 := cutString(rest)
		if !ok || !ok2 {
			return nil, errkind.New(errkind.ProtocolViolation, "malformed startup packet")
		}
		values[strings.ToLower(string(name))] = string(value)
		body = rest
	}
}

// startupParameters applies the pairs of the startup packet. It returns unknown protocol options.
func (c *session) startupParameters(body []byte) (unknown []string, err error) {
	values, err := startupPairs(body)
	if err != nil {
		return nil, err
	}
	user := values["user"]
	c.database = values["database"]
	if user == "" {
		return nil, &sqlError{code: "28000", text: "no user name in the startup packet"}
	}
	if c.database == "" {
		c.database = user
	}
	delete(values, "user")
	delete(values, "database")
	if err := startupOptions(values); err != nil {
		return nil, err
	}
	// The class decides which access modes are allowed, so it comes first.
	const class = ownPrefix + "class"
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
		if err := c.startupParameter(name, value); err != nil {
			return nil, err
		}
	}
	return unknown, nil
}

func (c *session) startupParameter(name, value string) error {
	switch name {
	case "timezone", "search_path", "lc_messages", "fallback_application_name":
		return nil // drivers send these unasked
	case "replication":
		if on, ok := parseBool(value); ok && !on {
			return nil
		}
		return errkind.New(errkind.Unsupported, "replication connections are not supported")
	}
	return c.setParameter(name, value)
}

// startupOptions moves the settings of the options parameter ("-c name=value" or "--name=value") to values.
func startupOptions(values map[string]string) error {
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
			return errkind.New(errkind.BadParameter, "startup option %q has no value", word)
		}
		values[strings.ReplaceAll(strings.ToLower(name), "-", "_")] = value
	}
	return nil
}
