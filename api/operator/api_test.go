package operator

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/samphirebeam/samphirebeam/audit"
	"github.com/samphirebeam/samphirebeam/platform"
	"github.com/samphirebeam/samphirebeam/platform/platformfake"
	"github.com/samphirebeam/samphirebeam/resource"
)

// host is the API of one host, with a record of what it passed to its core.
type host struct {
	http.Handler
	fake  *platformfake.Fake
	trail *audit.Trail

	mu       sync.Mutex
	inForce  *resource.Document
	versions []uint64 // platform versions passed to Accepted
	status   Status
	stopped  bool
}

// tries is small, so that cases without an outcome end soon. timeout is long, so
// that no case times out on a busy machine.
const (
	tries   = 6
	timeout = time.Minute
)

func newHost(fake *platformfake.Fake, store platform.Store) *host {
	return newHostWithTries(fake, store, tries)
}

func newHostWithTries(fake *platformfake.Fake, store platform.Store, tries int) *host {
	h := &host{fake: fake, inForce: &resource.Document{}}
	h.trail = audit.New(audit.Config{Store: store, Log: zerolog.Nop()})
	h.Handler = New(Config{
		Store:    store,
		Trail:    h.trail,
		Accepted: h.accepted,
		InForce: func() *resource.Document {
			h.mu.Lock()
			defer h.mu.Unlock()
			if h.stopped {
				return nil
			}
			return h.inForce
		},
		Status:  func() (Status, error) { return h.status, nil },
		Timeout: timeout,
		Tries:   tries,
	})
	return h
}

func (h *host) accepted(document []byte, version uint64) {
	doc, err := resource.DecodeDocument(document)
	if err != nil {
		panic(err)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if doc.Generation > h.inForce.Generation {
		h.inForce = doc
	}
	h.versions = append(h.versions, version)
}

// answer is the answer to a request, with its body decoded as each type.
type answer struct {
	status  int
	header  http.Header
	text    string
	report  ChangeReport
	failure Failure
	page    AuditPage
}

func (h *host) do(method, path, body string, headers ...string) answer {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	for _, header := range headers {
		name, value, _ := strings.Cut(header, ": ")
		r.Header.Set(name, value)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	a := answer{status: w.Code, header: w.Header()}
	text, _ := io.ReadAll(w.Body)
	a.text = string(text)
	for _, into := range []any{&a.report, &a.failure, &a.page} {
		_ = json.Unmarshal(text, into)
	}
	return a
}

const base = `
kind: FailureDomain
name: d1
---
kind: FailureDomain
name: d2
---
kind: Service
name: s1
spec: {versions: [{version: 7, ranges: [{from: 0, to: 100}]}]}
---
kind: Upstream
name: u1
spec: {service: s1, failureDomain: d1, address: "10.0.0.1:80", slots: 2, connections: 25, coldStart: {ratePerSecond: 2, warmTime: 10s}}
---
kind: Upstream
name: u2
spec: {service: s1, failureDomain: d2, address: "10.0.0.2:80", slots: 2, connections: 25, coldStart: {ratePerSecond: 2, warmTime: 10s}}
---
kind: Scope
name: all
spec: {services: [s1], space: {from: 0, to: 100}, reach: 1}
`

func domain(name, state string) string {
	return fmt.Sprintf(`{"kind":"FailureDomain","name":%q,"spec":{"state":%q}}`, name, state)
}

// started returns a host whose platform holds base at generation 1.
func started(t *testing.T) *host {
	t.Helper()
	fake := platformfake.New()
	h := newHost(fake, fake)
	if a := h.do("POST", "/apply", base, "X-Operation-Id: base"); a.status != http.StatusOK {
		t.Fatal(a.text)
	}
	return h
}

func TestRequests(t *testing.T) {
	long := strings.Repeat("x", maxHeaderBytes+1)
	tests := []struct {
		name, method, path, body string
		headers                  []string
		status                   int
		want                     string
	}{
		{"get", "GET", "/objects/Upstream/u1", "", nil, 200, `"version":1`},
		{"get missing", "GET", "/objects/Upstream/u9", "", nil, 404, `"kind":"UnknownName"`},
		{"list", "GET", "/objects", "", nil, 200, `"name":"all"`},
		{"list kind", "GET", "/objects/Scope", "", nil, 200, `{"generation":1,"objects":[{"kind":"Scope"`},
		{"list unknown kind", "GET", "/objects/Rack", "", nil, 404, `the kinds are`},
		{"unknown path", "GET", "/nothing", "", nil, 404, `"kind":"UnknownName"`},
		{"wrong method", "PATCH", "/objects/Scope/all", "", nil, 405, `"kind":"InvalidRequest"`},
		{"put", "PUT", "/objects/FailureDomain/d1", domain("d1", "leaving"), nil, 200, `"generation":2,"objects":[{"object":"FailureDomain/d1","outcome":"accepted","version":2}]`},
		{"put unchanged", "PUT", "/objects/FailureDomain/d1", domain("d1", "in"), nil, 200, `"outcome":"unchanged","version":1`},
		{"put matching", "PUT", "/objects/FailureDomain/d1", domain("d1", "out"), []string{`If-Match: "1"`}, 200, `"accepted"`},
		{"put stale", "PUT", "/objects/FailureDomain/d1", domain("d1", "out"), []string{`If-Match: "7"`}, 409, `"kind":"Conflict"`},
		{"put stale by body", "PUT", "/objects/FailureDomain/d1", `{kind: FailureDomain, name: d1, version: 7, spec: {state: out}}`, nil, 409, `"field":"version"`},
		{"create only", "PUT", "/objects/FailureDomain/d1", domain("d1", "out"), []string{"If-None-Match: *"}, 409, `"kind":"Conflict"`},
		{"create", "PUT", "/objects/FailureDomain/d3", domain("d3", "out"), []string{"If-None-Match: *"}, 200, `"accepted"`},
		{"bad match", "PUT", "/objects/FailureDomain/d1", domain("d1", "out"), []string{"If-Match: x"}, 400, `If-Match`},
		{"another object in the body", "PUT", "/objects/FailureDomain/d1", domain("d2", "out"), nil, 400, `must hold FailureDomain/d1`},
		{"unknown field", "PUT", "/objects/FailureDomain/d1", `{"kind":"FailureDomain","name":"d1","spec":{"stat":"in"}}`, nil, 400, `"object":"FailureDomain/d1","field":"spec.stat","reason":"is not a known field","line":1`},
		{"last domain", "POST", "/apply", domain("d1", "out") + "\n---\n" + domain("d2", "out"), nil, 400, `would leave Scope/all`},
		{"last domain by override", "POST", "/apply?override=true", domain("d1", "out") + "\n---\n" + domain("d2", "out"), nil, 200, `"accepted"`},
		{"bad override", "POST", "/apply?override=perhaps", domain("d1", "out"), nil, 400, `override`},
		{"delete", "DELETE", "/objects/Scope/all", "", nil, 200, `"outcome":"accepted"`},
		{"delete stale", "DELETE", "/objects/Scope/all", "", []string{"If-Match: 9"}, 409, `"Conflict"`},
		{"delete what is used", "DELETE", "/objects/Service/s1", "", nil, 400, `still named by Scope/all`},
		{"delete missing", "DELETE", "/objects/Scope/none", "", nil, 404, `"UnknownName"`},
		{"apply some", "POST", "/apply", domain("d1", "out") + "\n---\n{kind: Scope, name: b, spec: {services: [s9], reach: 0}}", nil, 207, `"outcome":"accepted","version":2},{"object":"Scope/b","outcome":"refused","kind":"InvalidRequest","errors":[{"object":"Scope/b","field":"spec.services[0]"`},
		{"apply all refused", "POST", "/apply", `{kind: Scope, name: b, spec: {services: [s9], reach: 0}}` + "\n---\n" + `{kind: Upstream, name: u1, version: 9, spec: {service: s1, failureDomain: d1, address: "10.0.0.9:80", slots: 2, connections: 25, coldStart: {ratePerSecond: 2, warmTime: 10s}}}`, nil, 400, `"Upstream/u1","outcome":"refused","kind":"Conflict"`},
		{"apply nothing", "POST", "/apply", "# nothing", nil, 400, `holds no object`},
		{"long operation", "POST", "/apply", domain("d1", "out"), []string{"X-Operation-Id: " + long}, 400, `longer than`},
		{"too large a body", "POST", "/apply", strings.Repeat("x", resource.MaxTextSize+1), nil, 413, `"TooLarge"`},
		{"bad limit", "GET", "/audit?limit=0", "", nil, 400, `limit`},
		{"bad since", "GET", "/audit?since=1000h", "", nil, 400, `since`},
		{"status", "GET", "/status", "", nil, 200, `"generation":0`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			a := started(t).do(tt.method, tt.path, tt.body, tt.headers...)
			if a.status != tt.status || !strings.Contains(a.text, tt.want) {
				t.Errorf("got %d %s, want %d %s", a.status, a.text, tt.status, tt.want)
			}
		})
	}
}

func TestStatusReportsLaggingHosts(t *testing.T) {
	h := started(t)
	h.status = Status{Hosts: []HostStatus{
		{Host: "h1", State: HostAlive, Generation: 1},
		{Host: "h2", State: HostAlive, Generation: 0},
		{Host: "h3", State: "dead", Generation: 0},
	}}
	var got Status
	if err := json.Unmarshal([]byte(h.do("GET", "/status", "").text), &got); err != nil {
		t.Fatal(err)
	}
	if got.Generation != 1 || got.Hosts[0].Lags || !got.Hosts[1].Lags || got.Hosts[2].Lags {
		t.Errorf("got %+v", got)
	}
	if a := h.do("GET", "/objects/Scope/all", ""); !strings.Contains(a.text, `"status":{"inForce":false,"hosts":2,"hostsInForce":1}`) {
		t.Errorf("got %s", a.text)
	}
}

func TestAuditTrail(t *testing.T) {
	h := started(t)
	h.do("PUT", "/objects/FailureDomain/d1", domain("d1", "out"), "X-Operator: ann", "X-Operation-Id: a1")
	h.do("PUT", "/objects/FailureDomain/d2", domain("d2", "out"), "X-Operator: bob", "X-Operation-Id: b1")
	h.do("PUT", "/objects/FailureDomain/d2", "{", "X-Operator: bob", "X-Operation-Id: b2")
	h.do("PUT", "/objects/FailureDomain/d1", domain("d1", "in"), "If-Match: 1", "X-Operator: cat", "X-Operation-Id: c1")
	byOperation := map[string]audit.Entry{}
	for _, e := range h.do("GET", "/audit?limit=10&since=1h", "").page.Entries {
		byOperation[e.Operation] = e
	}
	if len(byOperation) != 5 {
		t.Fatalf("got %+v", byOperation)
	}
	change := byOperation["a1"]
	if change.Result != audit.Accepted || change.Operator != "ann" || change.Objects[0].From != 1 || change.Objects[0].To != 2 || change.UnixMilli == 0 {
		t.Errorf("got %+v", change)
	}
	for operation, kind := range map[string]string{"b1": "InvalidRequest", "b2": "InvalidRequest", "c1": "Conflict"} {
		if e := byOperation[operation]; e.Result != audit.Refused || e.Kind != kind || len(e.Errors) == 0 {
			t.Errorf("%s: got %+v", operation, e)
		}
	}
	if e := byOperation["c1"]; e.Objects[0].From != 2 || e.Objects[0].To != 0 {
		t.Errorf("got %+v", e)
	}
}
