package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// port is a Port that answers each call by a function. Without one it never
// answers.
type port struct {
	answer func(*peerpb.Query) (*peerpb.QueryReply, *core.Error)
	got    *peerpb.Query
	gone   chan core.CallID
}

func (p *port) Submit(q *peerpb.Query) (core.CallID, <-chan *peerpb.QueryReply, *core.Error) {
	p.got = q
	replies := make(chan *peerpb.QueryReply, 1)
	if p.answer != nil {
		reply, refused := p.answer(q)
		if refused != nil {
			return 0, nil, refused
		}
		replies <- reply
	}
	return 9, replies, nil
}

func (p *port) Gone(id core.CallID) { p.gone <- id }

func post(h http.Handler, path, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	r.Header.Set("X-Rights", "clerk")
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

func TestRequests(t *testing.T) {
	const good = `{"request_id":"r","scope":"register","question":"plate","deadline_ms":300,"priority":-2,"limit":5}`
	cases := []struct {
		name, path, body string
		status           int
		kind             string
	}{
		{"query", "/v1/query", good, 200, ""},
		{"call", "/v1/call", `{"request_id":"r","service":"fees","payload_base64":"AAE=","deadline_ms":1}`, 200, ""},
		{"unknown field", "/v1/query", `{"request_id":"r","scop":"x"}`, 400, "InvalidRequest"},
		{"not JSON", "/v1/query", `hello`, 400, "InvalidRequest"},
		{"empty", "/v1/query", ``, 400, "InvalidRequest"},
		{"two values", "/v1/query", good + good, 400, "InvalidRequest"},
		{"wrong type", "/v1/query", `{"deadline_ms":"soon"}`, 400, "InvalidRequest"},
		{"no request id", "/v1/query", strings.Replace(good, `"r"`, `""`, 1), 400, "InvalidRequest"},
		{"no scope", "/v1/query", strings.Replace(good, "register", "", 1), 400, "InvalidRequest"},
		{"no question", "/v1/query", strings.Replace(good, "plate", "", 1), 400, "InvalidRequest"},
		{"two questions", "/v1/query", strings.Replace(good, `"limit"`, `"question_base64":"AA==","limit"`, 1), 400, "InvalidRequest"},
		{"bad base64", "/v1/call", `{"payload_base64":"?"}`, 400, "InvalidRequest"},
		{"no deadline", "/v1/query", strings.Replace(good, "300", "0", 1), 400, "InvalidRequest"},
		{"deadline passed", "/v1/query", strings.Replace(good, "300", "-1", 1), 400, "InvalidRequest"},
		{"deadline too long", "/v1/query", strings.Replace(good, "300", "60001", 1), 400, "InvalidRequest"},
		{"deadline overflows", "/v1/query", strings.Replace(good, "300", "18446744073709552", 1), 400, "InvalidRequest"},
		{"priority", "/v1/query", strings.Replace(good, "-2", "101", 1), 400, "InvalidRequest"},
		{"limit", "/v1/query", strings.Replace(good, `:5}`, `:10001}`, 1), 400, "InvalidRequest"},
		{"long name", "/v1/query", strings.Replace(good, "register", strings.Repeat("x", 257), 1), 413, "TooLarge"},
		{"long body", "/v1/query", strings.Replace(good, "plate", strings.Repeat("x", 2<<20), 1), 413, "TooLarge"},
		{"no such path", "/v2/query", good, 404, "UnknownName"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := &port{answer: func(*peerpb.Query) (*peerpb.QueryReply, *core.Error) { return &peerpb.QueryReply{}, nil }}
			w := post(New(Config{Port: p}), c.path, c.body)
			var failure Failure
			if err := json.Unmarshal(w.Body.Bytes(), &failure); err != nil {
				t.Fatal(err)
			}
			if w.Code != c.status || failure.Kind != c.kind {
				t.Errorf("got %d %s", w.Code, w.Body)
			}
			if c.status == 200 {
				return
			}
			if failure.Ran != "not run" || failure.Detail == "" || p.got != nil {
				t.Errorf("refusal %+v, submitted %v", failure, p.got)
			}
		})
	}
}

func TestSubmittedQuery(t *testing.T) {
	p := &port{answer: func(*peerpb.Query) (*peerpb.QueryReply, *core.Error) { return &peerpb.QueryReply{}, nil }}
	h := New(Config{Port: p})
	cases := []struct {
		path, body string
		once       bool
	}{
		{"/v1/query", `{"request_id":"r","scope":"s","question":"q","deadline_ms":3}`, false},
		{"/v1/query", `{"request_id":"r","scope":"s","question":"q","deadline_ms":3,"repeatable":false}`, true},
		{"/v1/call", `{"request_id":"r","service":"s","payload":"q","deadline_ms":3}`, true},
		{"/v1/call", `{"request_id":"r","service":"s","payload":"q","deadline_ms":3,"repeatable":true}`, false},
	}
	for _, c := range cases {
		post(h, c.path, c.body)
		q := p.got
		if q.Once != c.once || q.Scope+q.Service != "s" || string(q.Question) != "q" || q.RemainingUs != 3000 || q.Rights != "clerk" {
			t.Errorf("%s: submitted %v", c.body, q)
		}
	}
}

// TestEveryKind replies with each kind and compares status and body of the answer
// with the table of kinds.
func TestEveryKind(t *testing.T) {
	for _, kind := range core.Kinds() {
		reply := &peerpb.QueryReply{Kind: int32(kind), Ran: int32(core.RanUnknown), Detail: "d", RetryAfterUs: 1_200_000}
		p := &port{answer: func(*peerpb.Query) (*peerpb.QueryReply, *core.Error) { return reply, nil }}
		w := post(New(Config{Port: p}), "/v1/call", `{"request_id":"r","service":"s","deadline_ms":3}`)
		row := core.AnswerTo(kind)
		if w.Code != row.Status {
			t.Errorf("%v: status %d", kind, w.Code)
		}
		var f Failure
		if err := json.Unmarshal(w.Body.Bytes(), &f); err != nil {
			t.Fatal(err)
		}
		if kind == core.OK {
			continue
		}
		want := Failure{RequestID: "r", Kind: row.Name, Detail: "d", Ran: "unknown", MayRepeat: row.MayRepeat, RetryAfterMs: 1200}
		got, _ := json.Marshal(f)
		expected, _ := json.Marshal(want)
		if !bytes.Equal(got, expected) || w.Header().Get("Retry-After") != "2" {
			t.Errorf("%v: %s, Retry-After %s", kind, got, w.Header().Get("Retry-After"))
		}
	}
}

func TestRefusedByThePort(t *testing.T) {
	p := &port{answer: func(*peerpb.Query) (*peerpb.QueryReply, *core.Error) {
		return nil, core.Errorf(core.Overloaded, "the ring is full")
	}}
	w := post(New(Config{Port: p}), "/v1/call", `{"request_id":"r","service":"s","deadline_ms":3}`)
	if w.Code != 429 || w.Header().Get("Retry-After") != "1" {
		t.Errorf("got %d, Retry-After %q", w.Code, w.Header().Get("Retry-After"))
	}
}

func TestCallerDisconnects(t *testing.T) {
	p := &port{gone: make(chan core.CallID, 1)}
	server := httptest.NewServer(New(Config{Port: p}))
	defer server.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+"/v1/call",
		strings.NewReader(`{"request_id":"r","service":"s","deadline_ms":60000}`))
	if w, err := http.DefaultClient.Do(r); err == nil {
		_ = w.Body.Close()
		t.Fatal("answered")
	}
	select {
	case id := <-p.gone:
		if id != 9 {
			t.Errorf("call %d is gone", id)
		}
	case <-time.After(10 * time.Second):
		t.Error("the disconnect of the caller was not reported")
	}
}

func TestNoReplyByTheDeadline(t *testing.T) {
	p := &port{gone: make(chan core.CallID, 1)}
	w := post(New(Config{Port: p, Grace: time.Millisecond}), "/v1/call", `{"request_id":"r","service":"s","deadline_ms":5}`)
	if w.Code != 504 || len(p.gone) != 1 || !strings.Contains(w.Body.String(), `"ran":"unknown"`) {
		t.Errorf("got %d %s", w.Code, w.Body)
	}
}

func TestFraction(t *testing.T) {
	whole := []*peerpb.KeyRange{{}}
	cases := []struct {
		covered, wanted []*peerpb.KeyRange
		want            float64
	}{
		{whole, whole, 1},
		{[]*peerpb.KeyRange{{To: 1 << 63}}, whole, 0.5},
		{[]*peerpb.KeyRange{{From: 1 << 63}}, whole, 0.5},
		{nil, whole, 0},
		{[]*peerpb.KeyRange{{To: 25}, {From: 50, To: 75}}, []*peerpb.KeyRange{{To: 100}}, 0.5},
	}
	for _, c := range cases {
		if got := coveredFraction(c.covered, c.wanted); got != c.want {
			t.Errorf("%v of %v: %v", c.covered, c.wanted, got)
		}
	}
	almost := coveredFraction([]*peerpb.KeyRange{{From: 1}}, whole)
	if almost >= 1 {
		t.Errorf("all but one key: %v", almost)
	}
}
