// Package platform is a stand-in for the platform: table service, object store, VM list and service list over HTTP,
// with faults that tests switch through the Go API or over HTTP. It is not part of the product.
package platform

import (
	"context"
	"encoding/json"
	"errors"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sycamorehub/sycamorehub/emulator/silence"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/platform/httpapi"
)

// Paths of the operations that only tests use.
const (
	PathFaults   = "/faults"   // GET, PUT Faults
	PathCounters = "/counters" // GET Counters
	PathVM       = "/vms/"     // + name: PUT platform.VM adds or replaces it, DELETE removes it
	PathMember   = "/members/" // + name: PUT MemberChange
)

const readHeaderTimeout = 10 * time.Second

// MemberChange is the body of a PUT on PathMember.
type MemberChange struct {
	Leaving bool `json:"leaving"`
}

// Server is the platform stand-in. Its data lives in memory.
type Server struct {
	listener *silence.Listener
	http     *http.Server
	closing  sync.Once
	done     chan struct{} // closed by Close
	served   chan struct{} // closed when the accept loop has ended

	mu       sync.Mutex
	faults   Faults
	changed  chan struct{} // closed and replaced when faults change
	rows     map[string]platform.Row
	objects  map[string][]byte
	current  directory
	history  []directory // older states of the lists, oldest first
	counters *counter
}

// Start serves on the listener until Close.
func Start(l net.Listener, vms []platform.VM, services []platform.Service) *Server {
	s := &Server{
		listener: silence.Wrap(l), done: make(chan struct{}), served: make(chan struct{}), changed: make(chan struct{}),
		rows: make(map[string]platform.Row), objects: make(map[string][]byte), counters: newCounter(),
	}
	s.current = directory{vms: cloneVMs(vms), services: cloneServices(services)}
	s.http = &http.Server{Handler: s.handler(), ReadHeaderTimeout: readHeaderTimeout}
	go func() {
		defer close(s.served)
		_ = s.http.Serve(s.listener)
	}()
	return s
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// URL returns the base URL of the server.
func (s *Server) URL() string { return "http://" + s.Addr() }

// SilenceConnections makes all open connections permanently silent. New ones work.
func (s *Server) SilenceConnections() { s.listener.Silence() }

// Close stops the server and closes its connections. It may be called again.
func (s *Server) Close() error {
	s.closing.Do(func() { close(s.done) })
	err := s.http.Close()
	<-s.served
	return err
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+httpapi.PathTable+"{key}", s.store(s.getRow))
	mux.Handle("PUT "+httpapi.PathTable+"{key}", s.store(s.putRow))
	mux.Handle("GET "+httpapi.PathObjects+"{key}", s.store(s.getObject))
	mux.Handle("PUT "+httpapi.PathObjects+"{key}", s.store(s.putObject))
	mux.Handle("GET "+httpapi.PathVMs, s.lists(func(d directory) any { return d.vms }))
	mux.Handle("GET "+httpapi.PathServices, s.lists(func(d directory) any { return d.services }))
	s.addTestHandlers(mux)
	return mux
}

// store wraps a handler of the table or object store with the faults. The body is read before the faults apply, so
// that the server notices a caller that gives up.
func (s *Server) store(h func(key string, r *http.Request, body []byte) reply) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, httpapi.MaxObjectBytes))
		if err != nil {
			reply{status: http.StatusRequestEntityTooLarge}.write(w)
			return
		}
		write := r.Method == http.MethodPut
		s.countStore(write)
		f, ok := s.admit(w, r, func(f Faults) bool { return f.StoreOutage })
		if !ok {
			return
		}
		a := h(r.PathValue("key"), r, body)
		if write && a.status < 300 && s.takeDrop() {
			s.drop(w)
			return
		}
		if !s.pause(r.Context(), time.Duration(f.AnswerLatency)) {
			return
		}
		a.write(w)
	})
}

func (s *Server) lists(pick func(directory) any) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.countList()
		f, ok := s.admit(w, r, func(f Faults) bool { return f.ListOutage })
		if !ok {
			return
		}
		s.mu.Lock()
		d := s.listedAt(time.Now().Add(-time.Duration(f.ListLag)))
		s.mu.Unlock()
		writeList(w, r, pick(d))
	})
}

// admit applies outage and latency. It returns false when the request has been answered or given up.
func (s *Server) admit(w http.ResponseWriter, r *http.Request, out func(Faults) bool) (Faults, bool) {
	for {
		s.mu.Lock()
		f, changed := s.faults, s.changed
		s.mu.Unlock()
		if !out(f) {
			return f, s.pause(r.Context(), time.Duration(f.Latency))
		}
		if !f.Silent {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return f, false
		}
		select {
		case <-changed: // look again
		case <-r.Context().Done():
			return f, false
		case <-s.done:
			return f, false
		}
	}
}

// pause waits for d and reports whether the caller is still there.
func (s *Server) pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	case <-s.done:
		return false
	}
}

// drop closes the connection without an answer.
func (s *Server) drop(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler) // closes the connection as well
	}
	_ = conn.Close()
}

// reply is the answer of a store handler.
type reply struct {
	status  int
	version uint64 // 0: no entity tag
	body    []byte
}

func (a reply) write(w http.ResponseWriter) {
	if a.version != 0 {
		w.Header().Set("ETag", httpapi.FormatETag(a.version))
	}
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body)
}

// writeList answers with the list, or with 304 to a caller that has it.
func writeList(w http.ResponseWriter, r *http.Request, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	h := fnv.New64a()
	_, _ = h.Write(body)
	tag := httpapi.FormatETag(h.Sum64())
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

// ErrNoSuchName is returned by changes that name an unknown VM or member.
var ErrNoSuchName = errors.New("emulator: no such VM or member")
