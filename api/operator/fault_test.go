package operator

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/platform"
	"github.com/samphirebeam/samphirebeam/platform/platformfake"
	"github.com/samphirebeam/samphirebeam/resource"
	"github.com/samphirebeam/samphirebeam/standin/platformstub"
)

// scriptedStore is a Store with scripted faults for writes of the configuration.
type scriptedStore struct {
	platform.Store
	mu sync.Mutex
	// puts holds the behavior of each write in turn; later writes succeed.
	puts []func(put func() (uint64, error)) (uint64, error)
	// stale, if set, is returned by the next read of the configuration.
	stale *platform.Object
}

func (s *scriptedStore) Get(ctx context.Context, key string) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if stale := s.stale; stale != nil && key == core.ConfigKey {
		s.stale = nil
		return *stale, nil
	}
	return s.Store.Get(ctx, key)
}

func (s *scriptedStore) Put(ctx context.Context, key string, value []byte, version uint64) (uint64, error) {
	put := func() (uint64, error) { return s.Store.Put(ctx, key, value, version) }
	s.mu.Lock()
	if key != core.ConfigKey || len(s.puts) == 0 {
		s.mu.Unlock()
		return put()
	}
	next := s.puts[0]
	s.puts = s.puts[1:]
	s.mu.Unlock()
	return next(put)
}

func unanswered(ran core.Ran) error {
	return &platform.Error{Kind: core.PlatformUnavailable, Ran: ran, Op: "put"}
}

// lostReply writes, but loses the reply.
func lostReply(put func() (uint64, error)) (uint64, error) {
	_, _ = put()
	return 0, unanswered(core.RanUnknown)
}

// lostRequest does not write. The client sees the same error as for lostReply.
func lostRequest(func() (uint64, error)) (uint64, error) { return 0, unanswered(core.RanUnknown) }

func noConnection(func() (uint64, error)) (uint64, error) { return 0, unanswered(core.NotRun) }

func TestFaultsWhileAccepting(t *testing.T) {
	type steps = []func(put func() (uint64, error)) (uint64, error)
	// rival makes a change by another operator between this one's read and write.
	rival := func(h *host, name string) func(put func() (uint64, error)) (uint64, error) {
		return func(put func() (uint64, error)) (uint64, error) {
			h.do("PUT", "/objects/FailureDomain/"+name, domain(name, "leaving"), "X-Operation-Id: rival")
			return put()
		}
	}
	rivalAfterLoss := func(h *host, name string) func(put func() (uint64, error)) (uint64, error) {
		return func(put func() (uint64, error)) (uint64, error) {
			_, _ = put()
			h.do("PUT", "/objects/FailureDomain/"+name, domain(name, "leaving"), "X-Operation-Id: rival")
			return 0, unanswered(core.RanUnknown)
		}
	}
	many := func(one func(func() (uint64, error)) (uint64, error)) steps {
		var all steps
		for range DefaultTries {
			all = append(all, one)
		}
		return all
	}
	tests := []struct {
		name  string
		steps func(h *host) steps
		// status and want are the expected status and text of the answer; state is
		// the state of d1 in the platform afterwards.
		status int
		want   string
		state  resource.State
	}{
		{"reply lost", func(*host) steps { return steps{lostReply} }, 200, `"accepted","version":2`, resource.StateOut},
		{"reply lost, then a change to another object", func(h *host) steps { return steps{rivalAfterLoss(h, "d3")} }, 200, `"accepted","version":2`, resource.StateOut},
		{"reply lost, then a change to the same object", func(h *host) steps { return steps{rivalAfterLoss(h, "d1")} }, 200, `"accepted","version":2`, resource.StateLeaving},
		{"request lost", func(*host) steps { return steps{lostRequest, lostRequest} }, 200, `"accepted","version":2`, resource.StateOut},
		{"request lost, then a change to another object", func(h *host) steps {
			return steps{func(func() (uint64, error)) (uint64, error) {
				h.do("PUT", "/objects/FailureDomain/d3", domain("d3", "leaving"))
				return 0, unanswered(core.RanUnknown)
			}}
		}, 200, `"accepted","version":3`, resource.StateOut},
		{"no connection", func(*host) steps { return steps{noConnection} }, 200, `"accepted","version":2`, resource.StateOut},
		{"concurrent change to another object", func(h *host) steps { return steps{rival(h, "d3")} }, 200, `"accepted","version":3`, resource.StateOut},
		{"concurrent change to the same object", func(h *host) steps { return steps{rival(h, "d1")} }, 409, `"kind":"Conflict"`, resource.StateLeaving},
		{"never a connection", func(*host) steps { return many(noConnection) }, 503, `"kind":"PlatformUnavailable","detail":"not accepted`, resource.StateIn},
		{"request lost, a change to another object, then no connection", func(h *host) steps {
			return append(steps{func(func() (uint64, error)) (uint64, error) {
				h.do("PUT", "/objects/FailureDomain/d3", domain("d3", "leaving"))
				return 0, unanswered(core.RanUnknown)
			}}, many(noConnection)...)
		}, 503, `"kind":"PlatformUnavailable","detail":"not accepted`, resource.StateIn},
		{"never an answer", func(*host) steps { return many(lostRequest) }, 504, `"kind":"OutcomeUnknown","detail":"the change may have been accepted`, resource.StateIn},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			h := started(t)
			store := &scriptedStore{Store: h.fake}
			faulty := newHost(h.fake, store)
			store.puts = tt.steps(h)
			a := faulty.do("PUT", "/objects/FailureDomain/d1", domain("d1", "out"), "X-Operation-Id: mine")
			if a.status != tt.status || !strings.Contains(a.text, tt.want) {
				t.Errorf("got %d %s, want %d %s", a.status, a.text, tt.status, tt.want)
			}
			doc := storedDocument(t, h.fake)
			if got := doc.Find(resource.Ref{Kind: resource.FailureDomain, Name: "d1"}).Spec.(*resource.FailureDomainSpec).State; got != tt.state {
				t.Errorf("the platform holds %s, want %s", got, tt.state)
			}
			if accepted := doc.Operation("mine") != nil; accepted != (tt.status == 200) {
				t.Errorf("accepted %v, answered %d", accepted, tt.status)
			}
			if notified := len(faulty.versions) > 0; notified != (tt.status == 200) {
				t.Errorf("the host was notified of versions %v", faulty.versions)
			}
		})
	}
}

// TestReplyLostOverHTTP loses a reply between the real platform client and a
// platform stub. The document must still be written only once.
func TestReplyLostOverHTTP(t *testing.T) {
	t.Parallel()
	stub := platformstub.New()
	server := httptest.NewServer(stub)
	defer server.Close()
	client, err := platform.NewClient(platform.ClientConfig{URL: server.URL})
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	h := newHost(platformfake.New(), client)
	if err := stub.SetFaults(platformstub.Faults{LoseReplies: 1}); err != nil {
		t.Fatal(err)
	}
	a := h.do("POST", "/apply", base, "X-Operation-Id: base")
	if a.status != http.StatusOK || a.report.Generation != 1 {
		t.Errorf("got %d %s", a.status, a.text)
	}
	if puts := client.Calls().Put; puts != 1 || storedDocument(t, client).Generation != 1 {
		t.Errorf("wrote %d times, generation %d", puts, storedDocument(t, client).Generation)
	}
}

func storedDocument(t *testing.T, store platform.Store) *resource.Document {
	t.Helper()
	o, err := store.Get(t.Context(), core.ConfigKey)
	if err != nil {
		t.Fatal(err)
	}
	doc, err := resource.DecodeDocument(o.Value)
	if err != nil {
		t.Fatal(err)
	}
	return doc
}

// TestOperationIsAcceptedOnce sends a request again after another operator has
// changed the object back; it must not be applied a second time.
func TestOperationIsAcceptedOnce(t *testing.T) {
	t.Parallel()
	h := started(t)
	other := newHost(h.fake, h.fake)
	h.do("PUT", "/objects/FailureDomain/d1", domain("d1", "out"), "X-Operation-Id: mine")
	h.do("PUT", "/objects/FailureDomain/d1", domain("d1", "in"), "X-Operation-Id: back")
	a := other.do("PUT", "/objects/FailureDomain/d1", domain("d1", "out"), "X-Operation-Id: mine")
	if a.status != 200 || a.report.Generation != 2 || a.report.Objects[0].Outcome != OutcomeAccepted || a.report.Objects[0].Version != 2 {
		t.Errorf("got %d %s", a.status, a.text)
	}
	if doc := storedDocument(t, h.fake); doc.Generation != 3 {
		t.Errorf("the operation was accepted twice: generation %d", doc.Generation)
	}
	if len(other.versions) != 1 {
		t.Errorf("the other host was notified of versions %v", other.versions)
	}
	b := other.do("PUT", "/objects/FailureDomain/d2", domain("d2", "out"), "X-Operation-Id: mine")
	if b.status != 409 || !strings.Contains(b.text, "send it under a new one") {
		t.Errorf("got %d %s", b.status, b.text)
	}
}

func TestPlatformUnavailable(t *testing.T) {
	t.Parallel()
	h := started(t)
	h.fake.SetFaults(platformfake.Faults{Down: true})
	a := h.do("GET", "/objects/FailureDomain/d1", "")
	if a.status != 200 || a.header.Get(HeaderSource) != "host" || a.header.Get(HeaderGeneration) != "1" {
		t.Errorf("got %d %v %s", a.status, a.header, a.text)
	}
	a = h.do("PUT", "/objects/FailureDomain/d1", domain("d1", "out"))
	if a.status != 503 || a.failure.Kind != "PlatformUnavailable" || !strings.HasPrefix(a.failure.Detail, "not accepted") || a.failure.RetryAfterMs == 0 || a.header.Get("Retry-After") == "" {
		t.Errorf("got %d %s", a.status, a.text)
	}
	if a := h.do("GET", "/audit", ""); a.status != 503 {
		t.Errorf("got %d %s", a.status, a.text)
	}
	if a := newHost(h.fake, h.fake).do("GET", "/objects", ""); a.status != 503 {
		t.Errorf("a host without a configuration answered %d %s", a.status, a.text)
	}
}

// TestStaleReadAfterLostReply loses the reply to a write, and then returns a stale
// copy to the read that follows: one from before the change of another operator
// on which the write was based.
func TestStaleReadAfterLostReply(t *testing.T) {
	t.Parallel()
	h := started(t)
	old, _ := h.fake.Get(t.Context(), core.ConfigKey)
	h.do("PUT", "/objects/FailureDomain/d1", domain("d1", "leaving"))
	store := &scriptedStore{Store: h.fake}
	store.puts = append(store.puts, func(put func() (uint64, error)) (uint64, error) {
		store.mu.Lock()
		defer store.mu.Unlock()
		store.stale = &old
		return lostReply(put)
	})
	a := newHost(h.fake, store).do("PUT", "/objects/FailureDomain/d1", domain("d1", "out"))
	if a.status != http.StatusOK || a.report.Generation != 3 {
		t.Errorf("got %d %s", a.status, a.text)
	}
}

// TestHostStops stops the core of a host during a change and before another one.
func TestHostStops(t *testing.T) {
	t.Parallel()
	h := started(t)
	store := &scriptedStore{Store: h.fake}
	stopping := newHost(h.fake, store)
	store.puts = append(store.puts, func(put func() (uint64, error)) (uint64, error) {
		stopping.mu.Lock()
		defer stopping.mu.Unlock()
		stopping.stopped = true
		return lostReply(put)
	})
	a := stopping.do("PUT", "/objects/FailureDomain/d1", domain("d1", "out"))
	if a.status != http.StatusGatewayTimeout || a.failure.Kind != "OutcomeUnknown" {
		t.Errorf("a write that may have been accepted was answered %d %s", a.status, a.text)
	}
	a = stopping.do("PUT", "/objects/FailureDomain/d1", domain("d1", "in"))
	if a.status != http.StatusServiceUnavailable || a.failure.Kind != "Stopping" {
		t.Errorf("got %d %s", a.status, a.text)
	}
	if a := stopping.do("GET", "/objects", ""); a.status != http.StatusServiceUnavailable {
		t.Errorf("got %d %s", a.status, a.text)
	}
}

// TestStalePlatformIsNotChanged has the platform hold an older document than the
// one in force on a host, as after a restore from an old backup.
func TestStalePlatformIsNotChanged(t *testing.T) {
	t.Parallel()
	h := started(t)
	old, _ := h.fake.Get(t.Context(), core.ConfigKey)
	h.do("PUT", "/objects/FailureDomain/d1", domain("d1", "leaving"))
	if _, err := h.fake.Put(t.Context(), core.ConfigKey, old.Value, old.Version+1); err != nil {
		t.Fatal(err)
	}
	a := h.do("PUT", "/objects/FailureDomain/d1", domain("d1", "out"))
	if a.status != 503 || !strings.Contains(a.text, "this host has 2 in force") {
		t.Errorf("got %d %s", a.status, a.text)
	}
	if a := h.do("GET", "/objects/FailureDomain/d1", ""); a.header.Get(HeaderGeneration) != "2" {
		t.Errorf("got generation %s", a.header.Get(HeaderGeneration))
	}
}

func TestInvalidPlatformDocument(t *testing.T) {
	fake := platformfake.New()
	if _, err := fake.Put(t.Context(), core.ConfigKey, []byte("{"), 0); err != nil {
		t.Fatal(err)
	}
	a := newHost(fake, fake).do("POST", "/apply", base)
	if a.status != 500 || !strings.Contains(a.text, "not valid") {
		t.Errorf("got %d %s", a.status, a.text)
	}
}

// TestRacingOperators lets operators on several hosts change objects concurrently
// while replies are lost. Each change that was answered with success must be in
// the document exactly once.
func TestRacingOperators(t *testing.T) {
	t.Parallel()
	const operators, changes = 4, 8
	h := started(t)
	var wait sync.WaitGroup
	var mu sync.Mutex
	accepted := map[string]uint64{}
	for o := range operators {
		wait.Go(func() {
			store := &scriptedStore{Store: h.fake}
			for range changes {
				store.puts = append(store.puts, lostReply, func(put func() (uint64, error)) (uint64, error) { return put() })
			}
			own := newHostWithTries(h.fake, store, 100*operators)
			for i := range changes {
				operation := fmt.Sprintf("o%d-%d", o, i)
				name := fmt.Sprintf("x%d", i%3)
				a := own.do("PUT", "/objects/FailureDomain/"+name, domain(name, []string{"in", "out"}[(o+i)%2]), "X-Operation-Id: "+operation)
				if a.status != http.StatusOK && a.status != http.StatusConflict {
					t.Errorf("got %d %s", a.status, a.text)
				}
				if a.status == http.StatusOK && a.report.Objects[0].Outcome == OutcomeAccepted {
					mu.Lock()
					accepted[operation] = a.report.Generation
					mu.Unlock()
				}
			}
		})
	}
	wait.Wait()
	doc := storedDocument(t, h.fake)
	if int(doc.Generation) != len(accepted)+1 || len(accepted) == 0 {
		t.Errorf("generation %d after %d accepted changes", doc.Generation, len(accepted))
	}
	for operation, generation := range accepted {
		if c := doc.Operation(operation); c == nil || c.Generation != generation {
			t.Errorf("%s: answered generation %d, the document holds %+v", operation, generation, c)
		}
	}
}
