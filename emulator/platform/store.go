package platform

import (
	"bytes"
	"net/http"

	"github.com/sycamorehub/sycamorehub/pkg/platform"
	"github.com/sycamorehub/sycamorehub/pkg/platform/httpapi"
)

func (s *Server) getRow(key string, _ *http.Request, _ []byte) reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	row, ok := s.rows[key]
	if !ok {
		return reply{status: http.StatusNotFound}
	}
	return reply{status: http.StatusOK, version: row.Version, body: row.Value}
}

// putRow stores the body if the condition in If-Match or If-None-Match holds. It refuses an unconditional PUT.
func (s *Server) putRow(key string, r *http.Request, body []byte) reply {
	if len(body) > httpapi.MaxRowBytes {
		return reply{status: http.StatusRequestEntityTooLarge}
	}
	var want uint64
	switch match, none := r.Header.Get("If-Match"), r.Header.Get("If-None-Match"); {
	case match != "" && none == "":
		v, err := httpapi.ParseETag(match)
		if err != nil || v == 0 {
			return reply{status: http.StatusBadRequest, body: []byte("If-Match must hold the entity tag of a version")}
		}
		want = v
	case match == "" && none == "*":
	default:
		return reply{status: http.StatusPreconditionRequired}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rows[key].Version != want {
		return reply{status: http.StatusPreconditionFailed}
	}
	s.rows[key] = platform.Row{Value: bytes.Clone(body), Version: want + 1}
	return reply{status: http.StatusOK, version: want + 1}
}

func (s *Server) getObject(name string, _ *http.Request, _ []byte) reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.objects[name]
	if !ok {
		return reply{status: http.StatusNotFound}
	}
	return reply{status: http.StatusOK, body: b}
}

func (s *Server) putObject(name string, _ *http.Request, body []byte) reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[name] = bytes.Clone(body)
	return reply{status: http.StatusOK}
}

// Row returns the present row of key; ok is false when there is none. Faults and counters do not apply.
func (s *Server) Row(key string) (row platform.Row, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	row, ok = s.rows[key]
	return row, ok
}
