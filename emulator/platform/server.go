// Package platform emulates the platform: it serves the table service, the object store, the VM list and the service
// list over HTTP. Tests inject faults through the Go API or over HTTP. The package is not part of the product.
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

// Paths of the operations that only tests use. PathVM and PathMember are followed by a name.
const (
	PathFaults   = "/faults"   // GET, PUT Faults
	PathCounters = "/counters" // GET Counters
	PathVM       = "/vms/"     // PUT platform.VM adds or replaces a VM, DELETE removes it
	PathMember   = "/members/" // PUT MemberChange
)

const readHeaderTimeout = 10 * time.Second

// MemberChange is the body of a PUT on PathMember.
type MemberChange struct {
	Leaving bool `json:"leaving"`
}

// Server is an emulated platform. Its data lives in memory.
type Server struct {
	listener       *silence.Listener
	httpServer     *http.Server
	closeOnce      sync.Once
	closed         chan struct{} // closed by Close
	acceptLoopDone chan struct{} // closed when the HTTP server has stopped accepting

	mu            sync.Mutex
	faults        Faults
	faultsChanged chan struct{} // closed and replaced on every change of faults
	rows          map[string]platform.Row
	objects       map[string][]byte
	currentLists  listState
	listHistory   []listState // older states of the lists, oldest first
	counters      *requestCounters
}

// Start starts a server on the listener. It runs until Close.
func Start(l net.Listener, vms []platform.VM, services []platform.Service) *Server {
	s := &Server{
		listener: silence.Wrap(l), closed: make(chan struct{}), acceptLoopDone: make(chan struct{}), faultsChanged: make(chan struct{}),
		rows: make(map[string]platform.Row), objects: make(map[string][]byte), counters: newRequestCounters(),
	}
	s.currentLists = listState{vms: cloneVMs(vms), services: cloneServices(services)}
	s.httpServer = &http.Server{Handler: s.handler(), ReadHeaderTimeout: readHeaderTimeout}
	go func() {
		defer close(s.acceptLoopDone)
		_ = s.httpServer.Serve(s.listener)
	}()
	return s
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// URL returns the base URL of the server.
func (s *Server) URL() string { return "http://" + s.Addr() }

// SilenceConnections makes all open connections silent permanently: they stay open without an answer. New connections
// work.
func (s *Server) SilenceConnections() { s.listener.Silence() }

// Close stops the server and closes its connections. It may be called more than once.
func (s *Server) Close() error {
	s.closeOnce.Do(func() { close(s.closed) })
	err := s.httpServer.Close()
	<-s.acceptLoopDone
	return err
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+httpapi.PathTable+"{key}", s.storeHandler(s.getRow))
	mux.Handle("PUT "+httpapi.PathTable+"{key}", s.storeHandler(s.putRow))
	mux.Handle("GET "+httpapi.PathObjects+"{key}", s.storeHandler(s.getObject))
	mux.Handle("PUT "+httpapi.PathObjects+"{key}", s.storeHandler(s.putObject))
	mux.Handle("GET "+httpapi.PathVMs, s.listHandler(func(d listState) any { return d.vms }))
	mux.Handle("GET "+httpapi.PathServices, s.listHandler(func(d listState) any { return d.services }))
	s.addTestHandlers(mux)
	return mux
}

// storeHandler wraps a handler of the table service or the object store and applies the faults. It reads the body
// first: only then does the server notice a client that disconnects while its request waits.
func (s *Server) storeHandler(h func(key string, r *http.Request, body []byte) reply) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, httpapi.MaxObjectBytes))
		if err != nil {
			reply{status: http.StatusRequestEntityTooLarge}.write(w)
			return
		}
		write := r.Method == http.MethodPut
		s.countStoreRequest(write)
		f, ok := s.admitRequest(w, r, func(f Faults) bool { return f.StoreOutage })
		if !ok {
			return
		}
		answer := h(r.PathValue("key"), r, body)
		if write && answer.status < 300 && s.takeDroppedAnswer() {
			s.closeUnanswered(w)
			return
		}
		if !s.sleep(r.Context(), time.Duration(f.AnswerLatency)) {
			return
		}
		answer.write(w)
	})
}

// listHandler returns the handler of one list, which applies the faults.
func (s *Server) listHandler(selectList func(listState) any) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.countListRequest()
		f, ok := s.admitRequest(w, r, func(f Faults) bool { return f.ListOutage })
		if !ok {
			return
		}
		s.mu.Lock()
		d := s.listStateAt(time.Now().Add(-time.Duration(f.ListLag)))
		s.mu.Unlock()
		writeList(w, r, selectList(d))
	})
}

// admitRequest applies outage and latency to a request and returns the faults in force. It returns false when the
// request has been answered already or the client has disconnected.
func (s *Server) admitRequest(w http.ResponseWriter, r *http.Request, inOutage func(Faults) bool) (Faults, bool) {
	for {
		s.mu.Lock()
		f, changed := s.faults, s.faultsChanged
		s.mu.Unlock()
		if !inOutage(f) {
			return f, s.sleep(r.Context(), time.Duration(f.Latency))
		}
		if !f.Silent {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return f, false
		}
		select {
		case <-changed: // check the new faults
		case <-r.Context().Done():
			return f, false
		case <-s.closed:
			return f, false
		}
	}
}

// sleep waits for d. It returns false when ctx ends, because the client has disconnected, or when the server closes.
func (s *Server) sleep(ctx context.Context, d time.Duration) bool {
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
	case <-s.closed:
		return false
	}
}

// closeUnanswered closes the connection of a request without an answer.
func (s *Server) closeUnanswered(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler) // makes the HTTP server close the connection
	}
	_ = conn.Close()
}

// reply is the answer to a request to the table service or the object store.
type reply struct {
	status  int
	version uint64 // sent as the entity tag unless 0
	body    []byte
}

func (p reply) write(w http.ResponseWriter) {
	if p.version != 0 {
		w.Header().Set("ETag", httpapi.FormatETag(p.version))
	}
	w.WriteHeader(p.status)
	_, _ = w.Write(p.body)
}

// writeList answers with the list, or with 304 when the client has it already.
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

// ErrNoSuchName is returned by changes that name a VM or member that is not listed.
var ErrNoSuchName = errors.New("emulator: no such VM or member")
