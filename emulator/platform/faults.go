package platform

import (
	"net/http"

	"github.com/sycamorehub/sycamorehub/emulator/jsonhttp"
	"github.com/sycamorehub/sycamorehub/emulator/silence"
	"github.com/sycamorehub/sycamorehub/emulator/topology"
)

// DropAll as Faults.DropAnswers drops the answer of every write.
const DropAll = -1

// Faults are the failures in force. The zero value is none.
type Faults struct {
	StoreOutage   bool        `json:"storeOutage"` // table service and object store do not work
	ListOutage    bool        `json:"listOutage"`  // VM list and service list do not work
	Silent        bool        `json:"silent"`      // an outage gives no answer at all, instead of 503
	Latency       topology.Ms `json:"latencyMs"`   // before a request takes effect
	AnswerLatency topology.Ms `json:"answerMs"`    // between the effect of a store request and its answer
	DropAnswers   int         `json:"dropAnswers"` // next successful writes that take effect without an answer; DropAll: all
	ListLag       topology.Ms `json:"listLagMs"`   // age of the lists
}

// SetFaults replaces the faults in force. Requests held by a silent outage look at them again.
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

// takeDroppedAnswer reports whether the answer of the write in hand is to be dropped.
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

// addTestHandlers adds the operations for tests. They are subject to no fault.
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

// maxChangeBytes bounds the body of an operation for tests.
const maxChangeBytes = 1 << 20

func applyChange[T any](w http.ResponseWriter, r *http.Request, f func(T) error) {
	var v T
	if jsonhttp.Read(w, r, maxChangeBytes, &v) {
		writeChangeResult(w, f(v))
	}
}

func writeChangeResult(w http.ResponseWriter, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
