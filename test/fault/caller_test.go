package fault

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	emember "github.com/sycamorehub/sycamorehub/emulator/member"
	eplatform "github.com/sycamorehub/sycamorehub/emulator/platform"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
)

// SQLSTATEs that a caller may see from the system.
const (
	codeOutcomeUnknown       = "08007"
	codeSerializationFailure = "40001"
	codeCannotConnectNow     = "57P03"
	codeOverload             = "53400"
	codeCanceled             = "57014"
	codeDraining             = "57P01" // a stopping entry VM refuses work
	reconnectDelay           = 20 * time.Millisecond
	// callTimeout is longer than the 5 s that a daemon gives a unit of the classes used here; after it a caller takes
	// the entry VM for lost.
	callTimeout  = 7 * time.Second
	seedVariable = "SYCAMOREHUB_SEED"
)

// seedOr returns the seed of random choices, which SYCAMOREHUB_SEED overrides.
func seedOr(defaultSeed uint64) uint64 {
	if n, err := strconv.ParseUint(os.Getenv(seedVariable), 10, 64); err == nil {
		return n
	}
	return defaultSeed
}

func (c *cluster) setMemberFaults(m platform.Member, f emember.Faults) {
	c.t.Helper()
	c.requestJSON(http.MethodPut, "http://"+m.ControlAddr+emember.PathFaults, f, nil)
}

func (c *cluster) setPlatformFaults(f eplatform.Faults) {
	c.t.Helper()
	c.requestJSON(http.MethodPut, c.platformURL(eplatform.PathFaults), f, nil)
}

// replicas returns the members other than the primary.
func (c *cluster) replicas(primary platform.Member) []platform.Member {
	var out []platform.Member
	for _, m := range c.service().Members {
		if m.Name != primary.Name {
			out = append(out, m)
		}
	}
	return out
}

// callerSession is a session that keeps its token and may roam between entry VMs. It is used by one goroutine.
type callerSession struct {
	cluster   *cluster
	vm        string
	sessionID string // sycamorehub.session, "" for none
	key       string // sycamorehub.key, "" for none
	token     string
	conn      *pgconn.PgConn
	connClass string
	connKey   string // the connection's present key
}

// roam moves the session to another entry VM.
func (s *callerSession) roam(vm string) {
	s.close()
	s.vm = vm
}

func (s *callerSession) close() {
	if s.conn != nil {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = s.conn.Close(ctx)
		s.conn = nil
	}
}

// errNotSent reports that no connection could be opened, so that the unit was not sent.
var errNotSent = errors.New("not connected")

func (s *callerSession) connect(ctx context.Context, class string) error {
	if s.conn != nil && !s.conn.IsClosed() {
		return nil
	}
	vm, err := s.cluster.VM(s.vm)
	if err != nil {
		return err
	}
	database := s.cluster.database
	if database == "" {
		database = s.cluster.service().Name
	}
	cfg, err := pgconn.ParseConfig(fmt.Sprintf("postgres://caller@%s/%s?sslmode=disable", vm.CallerAddr, database))
	if err != nil {
		return err
	}
	cfg.RuntimeParams["sycamorehub.class"] = s.cluster.classFor(class)
	for name, value := range map[string]string{"key": s.key, "session": s.sessionID, "token": s.token} {
		if value != "" {
			cfg.RuntimeParams["sycamorehub."+name] = value
		}
	}
	dialCtx, cancel := context.WithTimeout(ctx, time.Second) // a frozen VM gives no answer
	defer cancel()
	s.connClass, s.connKey = class, s.key
	s.conn, err = pgconn.ConnectConfig(dialCtx, cfg)
	if err != nil {
		s.conn = nil
		return fmt.Errorf("%w: %w", errNotSent, err)
	}
	return nil
}

// run sends one unit in the class and returns the rows of its statements.
func (s *callerSession) run(class, sql string, timeout time.Duration) ([]*pgconn.Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := s.connect(ctx, class); err != nil {
		return nil, err
	}
	if s.connClass != class {
		if _, err := s.conn.Exec(ctx, "SET sycamorehub.class = '"+s.cluster.classFor(class)+"'").ReadAll(); err != nil {
			return nil, fmt.Errorf("%w: %w", errNotSent, err)
		}
		s.connClass = class
	}
	if s.connKey != s.key {
		if _, err := s.conn.Exec(ctx, "SET sycamorehub.key = '"+s.key+"'").ReadAll(); err != nil {
			return nil, fmt.Errorf("%w: %w", errNotSent, err)
		}
		s.connKey = s.key
	}
	res, err := s.conn.Exec(ctx, sql).ReadAll()
	if t := s.conn.ParameterStatus("sycamorehub.token"); t != "" {
		s.token = t
	}
	return res, err
}

// insert orders one plate.
func (s *callerSession) insert(key string) error {
	_, err := s.run("order", fmt.Sprintf("INSERT INTO orders (key, value) VALUES ('%s', 'plate')", key), callTimeout)
	return err
}

// read returns the value of a key, "" if absent, and the member that served it.
func (s *callerSession) read(class, key string) (value, member string, err error) {
	res, err := s.run(class, fmt.Sprintf("SELECT value FROM orders WHERE key = '%s'; SELECT member_name()", key), callTimeout)
	if err != nil {
		return "", "", err
	}
	if len(res) != 2 || len(res[1].Rows) != 1 {
		return "", "", fmt.Errorf("%d results for two statements", len(res))
	}
	if len(res[0].Rows) > 0 {
		value = string(res[0].Rows[0][0])
	}
	return value, string(res[1].Rows[0][0]), nil
}

// code returns the SQLSTATE of an error, "" if it has none.
func code(err error) string { return sqlState(err) }

// readRefused reports whether a read was refused as one that cannot be served within its bounds, or was not sent.
func readRefused(err error) bool {
	return code(err) == codeSerializationFailure || code(err) == codeCannotConnectNow || errors.Is(err, errNotSent)
}
