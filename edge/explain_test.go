package edge

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/samphirebeam/samphirebeam/core/scatter"
)

// TestHostExplainsRequests checks the answer of a running host, that nothing is sent to an
// upstream, and that no answer to bad input repeats the key.
func TestHostExplainsRequests(t *testing.T) {
	cluster := newTwoShardCluster(t)
	h := cluster.startHost("host-1", 1)
	ask := func(body string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		h.serveExplain(w, httptest.NewRequest(http.MethodPost, "/explain", strings.NewReader(body)))
		return w
	}
	var x scatter.Explanation
	if w := ask(`{"method":"GET","host":"h.example","path":"/gather/x?q=1"}`); json.Unmarshal(w.Body.Bytes(), &x) != nil || x.Decision != "answer" || len(x.Services) != 2 {
		t.Errorf("status %d: %s", w.Code, w.Body)
	}
	for _, body := range []string{`{`, `{"method":"GET","host":"h.example","path":"x"}`, `{"metod":"GET","key":"secret-key"}`, `{"key":["secret-key"]}`} {
		if w := ask(body); w.Code != http.StatusBadRequest || strings.Contains(w.Body.String(), "secret") {
			t.Errorf("%s: status %d: %s", body, w.Code, w.Body)
		}
	}
	for id, server := range cluster.servers {
		if server.Arrived() > 0 {
			t.Errorf("%s received a request", id)
		}
	}
}
