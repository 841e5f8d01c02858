package admin

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/sycamorehub/sycamorehub/pkg/clusterconfig"
	"github.com/sycamorehub/sycamorehub/pkg/errkind"
)

// Error codes for faults of the HTTP request itself. All other error codes are those of errkind.
const (
	CodeUnauthorized = "unauthorized"
	CodeBadRequest   = "bad_request"
	CodeBodyTooLarge = "body_too_large"
)

const (
	maxHistoryDocuments = 50  // in an answer of /v1/config/history; ?limit= can ask for fewer
	maxHeaderValueBytes = 128 // of the operation id and of the author
)

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// Encoding fails only when the client has closed the connection.
	_ = json.NewEncoder(w).Encode(v)
}

// httpStatusByCode maps error codes to HTTP status codes. Codes that it does not hold are answered with status 500.
var httpStatusByCode = map[string]int{
	errkind.ConfigInvalid.Code:       http.StatusUnprocessableEntity,
	errkind.ConfigConflict.Code:      http.StatusConflict,
	errkind.StoreUnavailable.Code:    http.StatusServiceUnavailable,
	errkind.NotReady.Code:            http.StatusServiceUnavailable,
	errkind.Draining.Code:            http.StatusServiceUnavailable,
	errkind.Overload.Code:            http.StatusServiceUnavailable,
	errkind.StoreOutcomeUnknown.Code: http.StatusGatewayTimeout,
}

// writeError answers the request with the error's code, detail and remedy, and with the configuration current if it is
// not nil. Errors that give status 500 are logged.
func (s *Server) writeError(w http.ResponseWriter, r *http.Request, err error, current *clusterconfig.Document) {
	kind := errkind.Of(err)
	status, ok := httpStatusByCode[kind.Code]
	if !ok {
		status = http.StatusInternalServerError
		if log, ok := s.failureLogLimit.Allow(s.options.Log, r.URL.Path); ok {
			log.WithError(err).WithField("path", r.URL.Path).Error("admin API request failed; the client gets status 500")
		}
	}
	message := err.Error()
	var e *errkind.Error
	if errors.As(err, &e) {
		message = e.Detail
	}
	writeJSON(w, status, ErrorResponse{Code: kind.Code, Message: message, Remedy: kind.Remedy, Current: current})
}

// writeRequestError answers a request that is itself at fault.
func writeRequestError(w http.ResponseWriter, status int, code, message, remedy string) {
	writeJSON(w, status, ErrorResponse{Code: code, Message: message, Remedy: remedy})
}

// requirePart reports whether the part of the daemon that a handler needs is present. If it is not, requirePart answers
// the request with "not ready".
func (s *Server) requirePart(w http.ResponseWriter, r *http.Request, present bool, part string) bool {
	if !present {
		s.writeError(w, r, errkind.New(errkind.NotReady, "%s is not available on this daemon yet", part), nil)
	}
	return present
}

// getConfig answers with the document in force on this daemon, or with ?source=store with the one in the table service.
func (s *Server) getConfig(w http.ResponseWriter, r *http.Request) {
	if !s.requirePart(w, r, s.options.Config != nil, "the configuration") {
		return
	}
	doc := s.options.Config.Installed()
	if r.URL.Query().Get("source") == "store" {
		var err error
		if doc, err = s.options.Config.Stored(r.Context()); err != nil {
			s.writeError(w, r, err, nil)
			return
		}
	}
	if doc == nil {
		doc = &clusterconfig.Document{} // version 0 means that no configuration exists
	}
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(doc.Version, 10)))
	writeJSON(w, http.StatusOK, doc)
}

func (s *Server) getHistory(w http.ResponseWriter, r *http.Request) {
	if !s.requirePart(w, r, s.options.Config != nil, "the configuration") {
		return
	}
	limit := maxHistoryDocuments
	if text := r.URL.Query().Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 {
			writeRequestError(w, http.StatusBadRequest, CodeBadRequest, "the query parameter limit is not a positive integer", "pass a positive integer as ?limit=")
			return
		}
		limit = min(n, maxHistoryDocuments)
	}
	docs, err := s.options.Config.History(r.Context(), limit)
	if err != nil {
		s.writeError(w, r, err, nil)
		return
	}
	writeJSON(w, http.StatusOK, docs)
}

func (s *Server) postConfig(w http.ResponseWriter, r *http.Request) {
	if !s.requirePart(w, r, s.options.Config != nil, "the configuration") {
		return
	}
	change, ok := s.readChange(w, r)
	if !ok {
		return
	}
	doc, err := s.options.Config.Apply(r.Context(), change)
	if err != nil {
		if !errkind.Is(err, errkind.ConfigConflict) {
			doc = nil
		} else if doc == nil {
			// If the table service cannot be read, doc stays nil and the operator still learns of the conflict.
			doc, _ = s.options.Config.Stored(r.Context())
		}
		s.writeError(w, r, err, doc)
		return
	}
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(doc.Version, 10)))
	writeJSON(w, http.StatusOK, doc)
}

// readChange reads the headers and the body of a change. If it returns false, it has answered the request with an error.
func (s *Server) readChange(w http.ResponseWriter, r *http.Request) (Change, bool) {
	change := Change{OperationID: r.Header.Get(HeaderOperationID), Author: r.Header.Get(HeaderAuthor)}
	version, err := strconv.ParseUint(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	if err != nil {
		writeRequestError(w, http.StatusPreconditionRequired, CodeBadRequest, "the If-Match header is not a configuration version",
			"send the version that the change is based on, or 0 if no configuration exists yet")
		return change, false
	}
	change.IfVersion = version
	if change.OperationID == "" || len(change.OperationID) > maxHeaderValueBytes || len(change.Author) > maxHeaderValueBytes {
		writeRequestError(w, http.StatusBadRequest, CodeBadRequest, HeaderOperationID+" is missing, or the operation id or author is too long",
			"send a unique "+HeaderOperationID+" of at most 128 bytes, so that the outcome can be looked up if the answer is lost, and an author of at most 128 bytes")
		return change, false
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, clusterconfig.MaxStoredBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		writeRequestError(w, http.StatusRequestEntityTooLarge, CodeBodyTooLarge, "the configuration document exceeds 256 KiB", "shorten the document")
		return change, false
	}
	if err != nil {
		writeRequestError(w, http.StatusBadRequest, CodeBadRequest, "the request body could not be read: "+err.Error(), "send the document again")
		return change, false
	}
	if change.Document, err = clusterconfig.Parse(body); err != nil {
		s.writeError(w, r, err, nil)
		return change, false
	}
	return change, true
}

func (s *Server) getStatus(w http.ResponseWriter, r *http.Request) {
	if !s.requirePart(w, r, s.options.Cluster != nil, "the status") {
		return
	}
	status := s.options.Cluster.Status()
	status.Checks, status.Ready = s.runChecks()
	writeJSON(w, http.StatusOK, status)
}

func (s *Server) getClasses(w http.ResponseWriter, r *http.Request) {
	if s.requirePart(w, r, s.options.Cluster != nil, "the list of classes") {
		writeJSON(w, http.StatusOK, s.options.Cluster.Classes())
	}
}

func (s *Server) getTeams(w http.ResponseWriter, r *http.Request) {
	if s.requirePart(w, r, s.options.Cluster != nil, "the list of teams") {
		writeJSON(w, http.StatusOK, s.options.Cluster.Teams())
	}
}

func (s *Server) getGroups(w http.ResponseWriter, r *http.Request) {
	if s.requirePart(w, r, s.options.Cluster != nil, "the list of database groups") {
		writeJSON(w, http.StatusOK, s.options.Cluster.Groups())
	}
}

func (s *Server) getVMs(w http.ResponseWriter, r *http.Request) {
	if s.requirePart(w, r, s.options.Cluster != nil, "the list of VMs") {
		writeJSON(w, http.StatusOK, s.options.Cluster.VMs())
	}
}

func (s *Server) getBurn(w http.ResponseWriter, r *http.Request) {
	if !s.requirePart(w, r, s.options.Burn != nil, "the burn report") {
		return
	}
	snap, err := s.options.Burn.Snapshot()
	if err != nil {
		s.writeError(w, r, err, nil)
		return
	}
	writeJSON(w, http.StatusOK, snap)
}

// getRequests answers with the latest requests that were not served, or with those of the id in the query.
func (s *Server) getRequests(w http.ResponseWriter, r *http.Request) {
	if !s.requirePart(w, r, s.options.Requests != nil, "the log of failed requests") {
		return
	}
	list := []FailedRequest{}
	for _, e := range s.options.Requests.Find(r.URL.Query().Get("id")) {
		kind := errkind.Of(e.Err)
		list = append(list, FailedRequest{
			Time: e.Time, Request: e.Request, Database: e.Database, Service: e.Service, Class: e.Class, Kind: kind.Code,
			Outcome: kind.Outcome.String(), Took: e.Took, Error: e.Err.Error(), Remedy: kind.Remedy,
		})
	}
	writeJSON(w, http.StatusOK, list)
}

func (s *Server) postDrain(w http.ResponseWriter, r *http.Request) {
	if !s.requirePart(w, r, s.options.Drainer != nil, "draining") {
		return
	}
	s.options.Drainer.Drain()
	w.WriteHeader(http.StatusAccepted)
}
