package admin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"net"
	"net/http"
	"net/http/pprof"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"

	"github.com/sycamorehub/sycamorehub/pkg/errkind"
	"github.com/sycamorehub/sycamorehub/pkg/loglimit"
)

const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 10 * time.Second
	// writeTimeout allows for a CPU profile, which takes 30 s by default.
	writeTimeout   = 45 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 16 << 10
)

// Options configures a Server. If Config, Cluster, Drainer, Burn or Requests is nil, requests that need it are answered with "not
// ready".
type Options struct {
	Addr     string              // host:port to listen on
	Token    string              // bearer token that /v1 and /debug/pprof require; empty if they require none
	PProf    bool                // serve /debug/pprof
	Gatherer prometheus.Gatherer // source of /metrics; nil means the default registry
	Checks   []Check
	Config   ConfigManager
	Cluster  ClusterView
	Drainer  Drainer
	Burn     BurnSource
	Requests RequestLog
	Log      logrus.FieldLogger // nil means the standard logger
}

// Server is the admin HTTP server of one daemon.
type Server struct {
	options     Options
	tokenDigest [sha256.Size]byte
	httpServer  *http.Server
	listener    net.Listener

	failureLogLimit loglimit.Limiter
}

// New returns a server that listens only after Start.
func New(options Options) *Server {
	if options.Gatherer == nil {
		options.Gatherer = prometheus.DefaultGatherer
	}
	if options.Log == nil {
		options.Log = logrus.StandardLogger()
	}
	s := &Server{options: options, tokenDigest: sha256.Sum256([]byte(options.Token))}
	s.httpServer = &http.Server{
		Handler: s.Handler(), ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout, WriteTimeout: writeTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	return s
}

// Start listens on the configured address and serves requests in the background until Stop.
func (s *Server) Start(ctx context.Context) error {
	var lc net.ListenConfig
	listener, err := lc.Listen(ctx, "tcp", s.options.Addr)
	if err != nil {
		return errkind.Wrap(errkind.SettingsInvalid, err, "cannot listen on the admin address %s", s.options.Addr)
	}
	s.listener = listener
	go func() {
		if err := s.httpServer.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			s.options.Log.WithError(err).Error("admin server stopped unexpectedly; operators' requests, health checks and metrics are not served until the daemon is restarted")
		}
	}()
	return nil
}

// Stop stops listening and waits for requests in progress. When ctx ends first, their connections are closed.
func (s *Server) Stop(ctx context.Context) error {
	if err := s.httpServer.Shutdown(ctx); err != nil {
		return s.httpServer.Close()
	}
	return nil
}

// Addr returns the address that the server listens on after Start.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Handler returns the handler for all paths of the server.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(s.options.Gatherer, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", s.readyz)
	api := http.NewServeMux()
	api.HandleFunc("GET /v1/config", s.getConfig)
	api.HandleFunc("POST /v1/config", s.postConfig)
	api.HandleFunc("GET /v1/config/history", s.getHistory)
	api.HandleFunc("GET /v1/status", s.getStatus)
	api.HandleFunc("GET /v1/classes", s.getClasses)
	api.HandleFunc("GET /v1/teams", s.getTeams)
	api.HandleFunc("GET /v1/groups", s.getGroups)
	api.HandleFunc("GET /v1/vms", s.getVMs)
	api.HandleFunc("GET /v1/burn", s.getBurn)
	api.HandleFunc("GET /v1/requests", s.getRequests)
	api.HandleFunc("POST /v1/drain", s.postDrain)
	api.HandleFunc("/v1/", func(w http.ResponseWriter, r *http.Request) {
		writeRequestError(w, http.StatusNotFound, CodeBadRequest, "the admin API has no such operation: "+r.Method+" "+r.URL.Path,
			"use a sycamorehubctl of the same version as the daemon")
	})
	mux.Handle("/v1/", s.authenticate(api))
	if s.options.PProf {
		mux.Handle("/debug/pprof/", s.authenticate(pprofHandler()))
	}
	return mux
}

func pprofHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/cmdline", pprof.Cmdline)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("/debug/pprof/symbol", pprof.Symbol)
	mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	return mux
}

// authenticate lets only requests with the bearer token reach next. Without a configured token it lets all through. It
// compares digests in constant time, so that the time taken reveals neither the token nor its length.
func (s *Server) authenticate(next http.Handler) http.Handler {
	if s.options.Token == "" {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		given, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		digest := sha256.Sum256([]byte(given))
		if !ok || subtle.ConstantTimeCompare(digest[:], s.tokenDigest[:]) != 1 {
			w.Header().Set("WWW-Authenticate", `Bearer realm="sycamorehub"`)
			writeJSON(w, http.StatusUnauthorized, ErrorResponse{
				Code: CodeUnauthorized, Message: "the request carries no valid bearer token",
				Remedy: "pass the token of the daemon's admin.tokenFile with --token-file",
			})
			return
		}
		next.ServeHTTP(w, r)
	})
}

// runChecks runs all readiness checks and reports whether all of them hold.
func (s *Server) runChecks() (results []CheckResult, ready bool) {
	ready = true
	results = make([]CheckResult, 0, len(s.options.Checks))
	for _, c := range s.options.Checks {
		result := CheckResult{Name: c.Name}
		if err := c.Probe(); err != nil {
			result.Error, ready = err.Error(), false
		}
		results = append(results, result)
	}
	return results, ready
}

func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	results, ready := s.runChecks()
	status := http.StatusOK
	if !ready {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, results)
}
