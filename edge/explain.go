package edge

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/samphirebeam/samphirebeam/core/scatter"
	"github.com/samphirebeam/samphirebeam/platform"
)

// ExplainRequest describes a request that is not sent. Hosts answer what they would do with
// it at POST /explain of the metrics address.
type ExplainRequest struct {
	Method string `json:"method"`
	Host   string `json:"host"`
	// Path is the path and query.
	Path string `json:"path"`
	// Key is the caller's key, if it has one.
	Key string `json:"key,omitempty"`
	// HasBody is true if the request has a body, which may be empty.
	HasBody bool `json:"has_body,omitempty"`
}

// maxExplainBytes bounds the body of a request to explain.
const maxExplainBytes = 64 << 10

// Check returns an error for the first field that no request can have.
func (r ExplainRequest) Check() error {
	switch {
	case r.Method == "" || strings.ContainsAny(r.Method, " \t\r\n"):
		return eris.Errorf("the method %q is no HTTP method", r.Method)
	case r.Host == "" || strings.ContainsAny(r.Host, "/ \t\r\n"):
		return eris.Errorf("the host %q is no host name", r.Host)
	case !strings.HasPrefix(r.Path, "/") || strings.ContainsAny(r.Path, " \t\r\n"):
		return eris.Errorf("the path %q does not begin with / or contains blanks", r.Path)
	case strings.ContainsAny(r.Key, " \t\r\n"):
		return eris.New("the key contains blanks")
	}
	return nil
}

// serveExplain answers what this host would do with a request now.
func (h *Host) serveExplain(w http.ResponseWriter, r *http.Request) {
	var asked ExplainRequest
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxExplainBytes))
	decoder.DisallowUnknownFields()
	if decoder.Decode(&asked) != nil {
		// The error is left out, since it may quote a key.
		http.Error(w, "the body is no request to explain", http.StatusBadRequest)
		return
	}
	if err := asked.Check(); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	request := platform.NewRequest(platform.MessageOf(asked.Method, asked.Host, asked.Path, asked.Key))
	now := time.Now()
	var explained scatter.Explanation
	if !h.decision.query(func(e *scatter.Engine) {
		explained = e.Explain(now, scatter.RequestArrived{
			Host: request.Host, Path: request.Path, At: now, Fingerprint: request.Fingerprint, Key: request.Key, HasKey: request.HasKey, HasBody: asked.HasBody,
		})
	}) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(explained) // the reader may leave early
}
