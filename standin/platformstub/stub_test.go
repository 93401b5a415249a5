package platformstub

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// TestDelayedListIncludesLaterChanges checks that a delayed list contains all
// changes up to its revision, including those between its call and its answer.
func TestDelayedListIncludesLaterChanges(t *testing.T) {
	stub := New()
	if err := stub.SetFaults(Faults{Delay: "100ms"}); err != nil {
		t.Fatal(err)
	}
	w := httptest.NewRecorder()
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		stub.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/objects/lease", nil))
	}()
	time.Sleep(30 * time.Millisecond)
	if err := stub.Put("lease", "a", "x"); err != nil {
		t.Fatal(err)
	}
	<-answered
	if got := w.Body.String(); !strings.Contains(got, `"spec":"x"`) || !strings.Contains(got, `"store_revision":1`) {
		t.Errorf("got %s", got)
	}
}

func TestRequests(t *testing.T) {
	object := func(name, revision, spec string) string {
		return `{"meta":{"name":"` + name + `","revision":` + revision + `},"spec":` + spec + `}`
	}
	tests := []struct {
		name, method, path, body string
		status                   int
		contains                 string
	}{
		{"create", "POST", "/objects/lease/a", object("a", "0", `"x"`), 200, `"revision":1`},
		{"create again", "POST", "/objects/lease/a", object("a", "0", `"y"`), 409, `"spec":"x"`},
		{"replace", "PUT", "/objects/lease/a", object("a", "1", `"y"`), 200, `"revision":2`},
		{"replace at an old revision", "PUT", "/objects/lease/a", object("a", "1", `"z"`), 409, `"spec":"y"`},
		{"replace at any revision", "PUT", "/objects/lease/a", object("a", "0", `"z"`), 200, `"revision":3`},
		{"no change", "PUT", "/objects/lease/a", object("a", "0", `"z"`), 200, `"revision":3`},
		{"replace none", "PUT", "/objects/lease/b", object("b", "0", `"z"`), 404, ""},
		{"another name", "POST", "/objects/lease/b", object("c", "0", `1`), 400, ""},
		{"too large", "POST", "/objects/lease/b", object("b", "0", `"`+strings.Repeat("x", 1<<20+64)+`"`), 413, ""},
		{"a name with a slash", "POST", "/objects/lease/c%2Fd", object("c/d", "0", `1`), 200, `"c/d"`},
		{"get", "GET", "/objects/lease/a", "", 200, `"spec":"z"`},
		{"get none", "GET", "/objects/lease/none", "", 404, ""},
		{"list", "GET", "/objects/lease", "", 200, `"has_more":false,"items":[{"meta":{"name":"a"`},
		{"list after", "GET", "/objects/lease?after=a", "", 200, `"items":[{"meta":{"name":"c/d"`},
		{"watch times out", "GET", "/objects/lease?watch=4&wait_ms=1", "", 200, `"events":null,"store_revision":4`},
		{"watch", "GET", "/objects/lease?watch=2&wait_ms=1000", "", 200, `"spec":"z"`},
		{"watch another kind", "GET", "/objects/none?watch=1&wait_ms=1", "", 200, `"events":null`},
		{"watch without a wait", "GET", "/objects/lease?watch=3", "", 400, ""},
		{"hosts", "PUT", "/hosts", `[{"host":"h","address":"127.0.0.1:1","domain":"d"}]`, 204, ""},
		{"bad hosts", "PUT", "/hosts", `{`, 400, ""},
		{"bad fault", "POST", "/faults", `{"dwon":true}`, 400, ""},
		{"bad delay", "POST", "/faults", `{"delay":"5"}`, 400, ""},
		{"delete at an old revision", "DELETE", "/objects/lease/a?revision=1", "", 409, ""},
		{"delete", "DELETE", "/objects/lease/a?revision=3", "", 200, ""},
		{"watch a removal", "GET", "/objects/lease?watch=4&wait_ms=1000", "", 200, `"removed":true`},
		{"forget", "POST", "/compact", "", 200, ""},
		{"watch what is forgotten", "GET", "/objects/lease?watch=4&wait_ms=1", "", 410, ""},
	}
	stub := New()
	for _, tt := range tests {
		w := httptest.NewRecorder()
		stub.ServeHTTP(w, httptest.NewRequest(tt.method, tt.path, strings.NewReader(tt.body)))
		if w.Code != tt.status || !strings.Contains(w.Body.String(), tt.contains) {
			t.Errorf("%s: got %d %s, want %d with %s", tt.name, w.Code, w.Body, tt.status, tt.contains)
		}
	}
	w := httptest.NewRecorder()
	stub.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/stats", nil))
	if got := strings.TrimSpace(w.Body.String()); got != `{"get":4,"put":8,"delete":2,"watch":5,"hosts":0}` {
		t.Errorf("got stats %s", got)
	}
}

// TestRestore checks that a restored store has the state of its copy, gives revisions
// out again in a new era, and has no history beyond the copy.
func TestRestore(t *testing.T) {
	stub := New()
	put := func(name, spec string) {
		if err := stub.Put("lease", name, spec); err != nil {
			t.Fatal(err)
		}
	}
	get := func(path string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		stub.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
		return w
	}
	put("a", "old")
	put("b", "old")
	time.Sleep(60 * time.Millisecond)
	put("a", "new")
	put("c", "new")
	stub.Remove("lease", "b")
	stub.Compact()
	stub.Restore(40 * time.Millisecond)
	list := get("/objects/lease")
	if body := list.Body.String(); strings.Count(body, `"old"`) != 2 || strings.Contains(body, "new") || !strings.Contains(body, `"store_revision":2`) {
		t.Errorf("got %s", body)
	}
	if era := list.Header().Get("Store-Era"); era != "2" {
		t.Errorf("era %q", era)
	}
	if w := get("/objects/lease?watch=5&wait_ms=1"); w.Code != http.StatusGone {
		t.Errorf("a watch beyond the copy: status %d", w.Code)
	}
	put("d", "newer")
	if w := get("/objects/lease?watch=2&wait_ms=1"); !strings.Contains(w.Body.String(), `"revision":3`) {
		t.Errorf("got %s", w.Body.String())
	}
}
