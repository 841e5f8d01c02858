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

// SQLSTATEs that a caller may get from the system.
const (
	codeOutcomeUnknown       = "08007" // the unit may have run
	codeSerializationFailure = "40001" // no member can serve the read within its class's bounds, or a rollback
	codeCannotConnectNow     = "57P03" // no primary, member or peer is reachable, or the daemon is not ready
	codeOverload             = "53400" // refused early, since the unit would wait too long
	codeCanceled             = "57014" // cancelled by the caller, or past its deadline
	codeDraining             = "57P01" // the entry VM is stopping and takes no more work
	reconnectDelay           = 20 * time.Millisecond
	// callTimeout is longer than the 5 s that a daemon allows a unit of the classes used here. A caller that waited for
	// so long treats the entry VM as lost.
	callTimeout  = 7 * time.Second
	seedVariable = "SYCAMOREHUB_SEED"
)

// seedOr returns the seed in SYCAMOREHUB_SEED, or defaultSeed if the variable holds none.
func seedOr(defaultSeed uint64) uint64 {
	if n, err := strconv.ParseUint(os.Getenv(seedVariable), 10, 64); err == nil {
		return n
	}
	return defaultSeed
}

// setMemberFaults replaces the faults of a member.
func (c *cluster) setMemberFaults(m platform.Member, f emember.Faults) {
	c.t.Helper()
	c.requestJSON(http.MethodPut, "http://"+m.ControlAddr+emember.PathFaults, f, nil)
}

// setPlatformFaults replaces the faults of the platform: its store and its lists of VMs and members.
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

// callerSession is a session that keeps its token and can move between entry VMs. Only one goroutine may use it.
type callerSession struct {
	cluster   *cluster
	vm        string
	sessionID string // parameter sycamorehub.session, "" for none
	key       string // parameter sycamorehub.key, which selects the service; "" for none
	token     string // last token received
	conn      *pgconn.PgConn
	connClass string // class that the open connection uses
	connKey   string // key that the open connection uses
}

// roam moves the session to another entry VM: the next request opens a connection there.
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

// errNotSent reports that the unit was not sent, since no connection could be opened or set up.
var errNotSent = errors.New("no connection to send the unit on")

// connect opens a connection in the class unless one is open. Errors wrap errNotSent where a connection was tried.
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
	dialCtx, cancel := context.WithTimeout(ctx, time.Second) // a frozen VM does not answer
	defer cancel()
	s.connClass, s.connKey = class, s.key
	s.conn, err = pgconn.ConnectConfig(dialCtx, cfg)
	if err != nil {
		s.conn = nil
		return fmt.Errorf("%w: %w", errNotSent, err)
	}
	return nil
}

// run sends one unit in the class and returns the results of its statements. It connects first if necessary.
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

// insert orders one plate under the key.
func (s *callerSession) insert(key string) error {
	_, err := s.run("order", fmt.Sprintf("INSERT INTO orders (key, value) VALUES ('%s', 'plate')", key), callTimeout)
	return err
}

// read returns the value of a key, "" if there is none, and the name of the member that served the read.
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

// code returns the SQLSTATE of an error, or "" if it has none. It is short for sqlState.
func code(err error) string { return sqlState(err) }

// readRefused reports whether a read was refused because it cannot be served within its bounds or at this moment, or
// was not sent.
func readRefused(err error) bool {
	return code(err) == codeSerializationFailure || code(err) == codeCannotConnectNow || errors.Is(err, errNotSent)
}
