package member

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/sycamorehub/sycamorehub/emulator/jsonhttp"
	"github.com/sycamorehub/sycamorehub/emulator/silence"
	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/platform/httpapi"
)

// Paths on the control address that only tests use.
const (
	PathFaults   = "/faults"   // GET, PUT Faults
	PathCounters = "/counters" // GET Counters
)

const (
	maxControlBodyBytes = 64 << 10
	maxStatusWait       = time.Minute // limit of the wait of a status request
)

func (m *Member) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+httpapi.PathStatus, m.holdDuringOutage(m.handleStatus))
	mux.Handle("POST "+httpapi.PathFence, m.holdDuringOutage(m.handleTermChange(m.engine.fence)))
	mux.Handle("POST "+httpapi.PathPromote, m.holdDuringOutage(m.handleTermChange(m.engine.promote)))
	mux.Handle("POST "+httpapi.PathFollow, m.holdDuringOutage(m.handleFollow))
	mux.Handle("GET "+pathLog, m.holdDuringOutage(m.handleLog))
	mux.HandleFunc("GET "+PathFaults, func(w http.ResponseWriter, _ *http.Request) { jsonhttp.Write(w, http.StatusOK, m.Faults()) })
	mux.HandleFunc("GET "+PathCounters, func(w http.ResponseWriter, _ *http.Request) { jsonhttp.Write(w, http.StatusOK, m.Counters()) })
	mux.HandleFunc("POST "+silence.Path, silence.Handler(m.dataListener, m.controlListener))
	mux.HandleFunc("PUT "+PathFaults, func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if jsonhttp.Read(w, r, maxControlBodyBytes, &f) {
			m.SetFaults(f)
			w.WriteHeader(http.StatusNoContent)
		}
	})
	return mux
}

// holdDuringOutage wraps a handler so that requests wait while a control outage lasts. It reads the body first: only
// then does the server notice a client that disconnects, whose request must not take effect after the outage.
func (m *Member) holdDuringOutage(h func(http.ResponseWriter, *http.Request, []byte)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxControlBodyBytes))
		if err != nil {
			http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
			return
		}
		if m.waitFaults(r.Context(), func(f Faults) bool { return !f.ControlOutage }) {
			h(w, r, body)
		}
	})
}

func (m *Member) handleStatus(w http.ResponseWriter, r *http.Request, _ []byte) {
	q := r.URL.Query()
	s, changed := m.engine.status()
	if q.Has(httpapi.QueryWait) {
		after, afterErr := strconv.ParseUint(q.Get(httpapi.QueryAfter), 10, 64)
		ms, waitErr := strconv.ParseUint(q.Get(httpapi.QueryWait), 10, 31)
		if err := errors.Join(afterErr, waitErr); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		expired := time.After(min(time.Duration(ms)*time.Millisecond, maxStatusWait))
		for s.LastPosition <= platform.Position(after) && m.waitChange(r, changed, expired) {
			s, changed = m.engine.status()
		}
		s, _ = m.engine.status()
	}
	m.answerAfterOutage(r, func() { writeStatus(w, r, s) })
}

// entityTagBytes is the length of the hash in an entity tag, long enough that two statuses do not share one by
// chance.
const entityTagBytes = 8

// writeStatus answers with the status, or with 304 when the client has it already. Answers to long polls have no entity
// tag.
func writeStatus(w http.ResponseWriter, r *http.Request, s platform.Status) {
	if !r.URL.Query().Has(httpapi.QueryWait) {
		body, _ := json.Marshal(s) // cannot fail: a struct of numbers, strings and booleans
		sum := sha256.Sum256(body)
		tag := `"` + base64.RawURLEncoding.EncodeToString(sum[:entityTagBytes]) + `"`
		w.Header().Set("ETag", tag)
		if r.Header.Get("If-None-Match") == tag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
	}
	jsonhttp.Write(w, http.StatusOK, s)
}

// answerAfterOutage runs f to answer a request. If a control outage began meanwhile, it first waits for its end.
func (m *Member) answerAfterOutage(r *http.Request, f func()) {
	if m.waitFaults(r.Context(), func(f Faults) bool { return !f.ControlOutage }) {
		f()
	}
}

// waitChange waits for a change of the engine. It returns false when the request ends, its wait expires or the member
// closes first.
func (m *Member) waitChange(r *http.Request, changed <-chan struct{}, expired <-chan time.Time) bool {
	select {
	case <-changed:
		return true
	case <-expired:
	case <-r.Context().Done():
	case <-m.ctx.Done():
	}
	return false
}

// handleTermChange returns the handler of fence or promote requests; op is the engine's method.
func (m *Member) handleTermChange(op func(platform.Term, string) (platform.Status, error)) func(http.ResponseWriter, *http.Request, []byte) {
	return func(w http.ResponseWriter, _ *http.Request, body []byte) {
		var req httpapi.FenceRequest
		if err := json.Unmarshal(body, &req); err != nil || req.Term == 0 || req.Promoter == "" {
			http.Error(w, "request body must hold a term and a promoter", http.StatusBadRequest)
			return
		}
		m.roleMu.Lock()
		defer m.roleMu.Unlock()
		s, err := op(req.Term, req.Promoter)
		m.endReplicationUnlessReplica()
		writeControlResult(w, s, err)
	}
}

// endReplicationUnlessReplica ends replication if the member is no longer a replica.
func (m *Member) endReplicationUnlessReplica() {
	if m.Status().Role != platform.RoleReplica {
		m.endReplication()
	}
}

func (m *Member) handleFollow(w http.ResponseWriter, _ *http.Request, body []byte) {
	var req httpapi.FollowRequest
	if err := json.Unmarshal(body, &req); err != nil || req.Term == 0 || req.Primary.ControlAddr == "" {
		http.Error(w, "request body must hold a term and a primary with a control address", http.StatusBadRequest)
		return
	}
	m.roleMu.Lock()
	defer m.roleMu.Unlock()
	s, err := m.engine.follow(req.Term)
	if err == nil {
		m.startReplication(req.Term, req.Primary)
	}
	writeControlResult(w, s, err)
}

func (m *Member) handleLog(w http.ResponseWriter, r *http.Request, _ []byte) {
	q := r.URL.Query()
	term, termErr := strconv.ParseUint(q.Get("term"), 10, 64)
	afterTerm, afterTermErr := strconv.ParseUint(q.Get("afterTerm"), 10, 64)
	after, afterErr := strconv.ParseUint(q.Get("after"), 10, 63)
	ms, waitErr := strconv.ParseUint(q.Get("wait"), 10, 31)
	if err := errors.Join(termErr, afterTermErr, afterErr, waitErr); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	expired := time.After(time.Duration(ms) * time.Millisecond)
	for {
		b, changed, err := m.engine.readLog(platform.Term(term), platform.Term(afterTerm), platform.Position(after))
		if err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
		if b.Match && len(b.Entries) == 0 && m.waitChange(r, changed, expired) {
			continue
		}
		m.answerAfterOutage(r, func() { writeBatch(w, b) })
		return
	}
}

func writeBatch(w http.ResponseWriter, b logBatch) {
	out, err := msgpack.Marshal(b)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(out)
}

// writeControlResult answers with the status, and with 409 when the engine refused the operation.
func writeControlResult(w http.ResponseWriter, s platform.Status, err error) {
	status := http.StatusOK
	if err != nil {
		status = http.StatusConflict
	}
	jsonhttp.Write(w, status, s)
}
