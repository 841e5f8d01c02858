package platform

import (
	"net/http"

	"github.com/sycamorehub/sycamorehub/emulator/jsonhttp"
	"github.com/sycamorehub/sycamorehub/emulator/silence"
	"github.com/sycamorehub/sycamorehub/emulator/topology"
)

// DropAll is the value of Faults.DropAnswers that drops the answer of every write.
const DropAll = -1

// Faults are the failures in force. The zero value has none.
type Faults struct {
	StoreOutage   bool        `json:"storeOutage"` // the table service and the object store do not work
	ListOutage    bool        `json:"listOutage"`  // the VM list and the service list do not work
	Silent        bool        `json:"silent"`      // requests during an outage get no answer instead of status 503
	Latency       topology.Ms `json:"latencyMs"`   // delay before a request takes effect
	AnswerLatency topology.Ms `json:"answerMs"`    // delay between the effect of a store request and its answer
	DropAnswers   int         `json:"dropAnswers"` // next writes that succeed without an answer; DropAll for all
	ListLag       topology.Ms `json:"listLagMs"`   // age of the lists in answers
}

// SetFaults replaces the faults in force, also for requests that wait in a silent outage.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	close(s.faultsChanged)
	s.faultsChanged = make(chan struct{})
}

// Faults returns the faults in force, with the remaining number of answers to drop.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// takeDroppedAnswer reports whether the answer of a successful write is dropped, and counts DropAnswers down if so.
func (s *Server) takeDroppedAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.faults.DropAnswers == DropAll:
		return true
	case s.faults.DropAnswers > 0:
		s.faults.DropAnswers--
		return true
	default:
		return false
	}
}

// addTestHandlers adds the operations that only tests use. Faults do not affect them.
func (s *Server) addTestHandlers(mux *http.ServeMux) {
	mux.HandleFunc("GET "+PathFaults, func(w http.ResponseWriter, _ *http.Request) {
		jsonhttp.Write(w, http.StatusOK, s.Faults())
	})
	mux.HandleFunc("PUT "+PathFaults, func(w http.ResponseWriter, r *http.Request) {
		applyChange(w, r, func(f Faults) error { s.SetFaults(f); return nil })
	})
	mux.HandleFunc("POST "+silence.Path, silence.Handler(s.listener))
	mux.HandleFunc("GET "+PathCounters, func(w http.ResponseWriter, _ *http.Request) {
		jsonhttp.Write(w, http.StatusOK, s.Counters())
	})
	mux.HandleFunc("PUT "+PathVM+"{name}", func(w http.ResponseWriter, r *http.Request) { applyChange(w, r, s.vmUpdate(r)) })
	mux.HandleFunc("DELETE "+PathVM+"{name}", func(w http.ResponseWriter, r *http.Request) {
		writeChangeResult(w, s.RemoveVM(r.PathValue("name")))
	})
	mux.HandleFunc("PUT "+PathMember+"{name}", func(w http.ResponseWriter, r *http.Request) {
		applyChange(w, r, func(c MemberChange) error { return s.SetMemberLeaving(r.PathValue("name"), c.Leaving) })
	})
}

// maxChangeBytes is the size limit of the body of an operation for tests.
const maxChangeBytes = 1 << 20

// applyChange decodes the body of a request, applies f to it and answers the request.
func applyChange[T any](w http.ResponseWriter, r *http.Request, f func(T) error) {
	var v T
	if jsonhttp.Read(w, r, maxChangeBytes, &v) {
		writeChangeResult(w, f(v))
	}
}

// writeChangeResult answers with 204 after a change, and with 404 after an error.
func writeChangeResult(w http.ResponseWriter, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
