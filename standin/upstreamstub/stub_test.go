package upstreamstub

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strconv"
	"sync"
	"testing"
	"time"
)

func newStub(t *testing.T, change func(*Spec)) *Stub {
	t.Helper()
	spec := Spec{
		ID: "u", Address: "127.0.0.1:0", Slots: 2, Connections: 10, ServiceMin: 5 * time.Millisecond,
		RestartTime: 20 * time.Millisecond,
		Versions:    []VersionSpec{{Version: 3, Ranges: []KeyRange{{0, 500}}, Items: 200, Space: KeyRange{0, 1000}}},
	}
	if change != nil {
		change(&spec)
	}
	s, err := New(Config{Seed: 9, Upstreams: []Spec{spec}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// post sends one request on a connection of its own.
func post(s *Stub, ctx context.Context, headers map[string]string) (int, http.Header, []byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Address("u")+"/v1/run", bytes.NewReader([]byte("q")))
	if err != nil {
		return 0, nil, nil, err
	}
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, body, err
}

func TestSearchMatchesIndex(t *testing.T) {
	s := newStub(t, nil)
	_, header, body, err := post(s, t.Context(), map[string]string{"X-Index-Version": "3", "X-Limit": "4", "X-Attempt-Id": "a/1/1"})
	if err != nil {
		t.Fatal(err)
	}
	var got struct{ Items []Item }
	if err := json.Unmarshal(body, &got); err != nil {
		t.Fatal(err)
	}
	want := NewIndex(9, 3, 200, KeyRange{0, 1000}).Search([]KeyRange{{0, 500}}, []byte("q"), 4)
	if len(want) != 4 || !reflect.DeepEqual(got.Items, want) {
		t.Errorf("got %v, want %v", got.Items, want)
	}
	if header.Get("X-Key-Ranges") != "0-500" || header.Get("X-Attempt-Id") != "a/1/1" || header.Get("X-Instance-Id") != "u-1" {
		t.Errorf("headers %v", header)
	}
}

func TestRefusals(t *testing.T) {
	drain := true
	past := strconv.FormatInt(time.Now().Add(-time.Second).UnixMilli(), 10)
	cases := []struct {
		name    string
		control Control
		headers map[string]string
		status  int
	}{
		{"draining", Control{Drain: &drain}, nil, 503},
		{"version gone", Control{DropVersion: 3}, map[string]string{"X-Index-Version": "3"}, 410},
		{"version unknown", Control{}, map[string]string{"X-Index-Version": "8"}, 410},
		{"deadline", Control{}, map[string]string{"X-Deadline-Ms": "0"}, 408},
		{"start by", Control{}, map[string]string{"X-Start-By-Unix-Ms": past}, 408},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newStub(t, nil)
			if err := s.Control(c.control); err != nil {
				t.Fatal(err)
			}
			status, header, _, err := post(s, t.Context(), c.headers)
			if err != nil || status != c.status {
				t.Errorf("status %d, error %v", status, err)
			}
			if status == 503 && header.Get("X-Not-Run") != "true" {
				t.Error("a refusal lacks X-Not-Run")
			}
			if stats := s.Stats(false)[0]; stats.Ran != 0 || stats.Refused != 1 {
				t.Errorf("stats %+v", stats)
			}
		})
	}
}

func TestSlotsAndShedding(t *testing.T) {
	s := newStub(t, func(spec *Spec) { spec.Queue, spec.ServiceMin = 1, 300*time.Millisecond })
	var wg sync.WaitGroup
	statuses := make([]int, 6)
	for i := range statuses {
		wg.Go(func() { statuses[i], _, _, _ = post(s, t.Context(), nil) })
	}
	wg.Wait()
	shed := 0
	for _, status := range statuses {
		if status == 503 {
			shed++
		}
	}
	stats := s.Stats(false)[0]
	if shed != 3 || stats.Shed != 3 || stats.PeakRunning != 2 || stats.PeakGiven != 3 {
		t.Errorf("statuses %v, stats %+v", statuses, stats)
	}
}

func TestColdBudget(t *testing.T) {
	cold := ColdStart{Rate: 5, Warm: time.Minute, StartsCold: true}
	t.Run("within", func(t *testing.T) {
		s := newStub(t, func(spec *Spec) { spec.Cold = cold })
		for range 3 {
			if status, _, _, err := post(s, t.Context(), nil); err != nil || status != 200 {
				t.Fatalf("status %d, error %v", status, err)
			}
			time.Sleep(220 * time.Millisecond)
		}
		if stats := s.Stats(false)[0]; stats.Falls != 0 || !stats.Cold {
			t.Errorf("stats %+v", stats)
		}
	})
	t.Run("beyond", func(t *testing.T) {
		s := newStub(t, func(spec *Spec) { spec.Cold = cold })
		var wg sync.WaitGroup
		for range 4 {
			wg.Go(func() { _, _, _, _ = post(s, t.Context(), nil) })
		}
		wg.Wait()
		if stats := s.Stats(false)[0]; stats.Falls == 0 || stats.Instance == "u-1" {
			t.Errorf("the overload did not crash the upstream: %+v", stats)
		}
	})
}

func TestFaults(t *testing.T) {
	cases := []struct {
		name    string
		control Control
		broken  bool
		status  int
		ran     uint64
	}{
		{"cut after reading", Control{CutAfterRead: 1}, true, 0, 0},
		{"cut after running", Control{CutAfterRun: 1}, true, 0, 1},
		{"failed", Control{Fail: 1}, false, 500, 1},
		{"late", Control{Late: 1, LateByMs: 50}, false, 200, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newStub(t, nil)
			if err := s.Control(c.control); err != nil {
				t.Fatal(err)
			}
			status, _, _, err := post(s, t.Context(), nil)
			if held := s.Stats(false)[0].Held; held != 0 {
				t.Errorf("%d requests are still held", held)
			}
			if (err != nil) != c.broken || status != c.status || s.Stats(false)[0].Ran != c.ran {
				t.Errorf("status %d, error %v, stats %+v", status, err, s.Stats(false)[0])
			}
			if status, _, _, err := post(s, t.Context(), nil); err != nil || status != 200 {
				t.Errorf("the fault did not end: %d, %v", status, err)
			}
		})
	}
}

func TestCancelStopsWork(t *testing.T) {
	s := newStub(t, func(spec *Spec) { spec.ServiceMin = time.Hour })
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, _, _, err := post(s, ctx, nil); err == nil {
		t.Fatal("answered")
	}
	for until := time.Now().Add(10 * time.Second); s.Stats(false)[0].Cancelled == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("the cancelled request is still running")
		}
	}
}

func TestCrashingQuestion(t *testing.T) {
	s := newStub(t, func(spec *Spec) { spec.DeathQuestion = "q" })
	if _, _, _, err := post(s, t.Context(), nil); err == nil {
		t.Error("the upstream answered the question that crashes it")
	}
	if stats := s.Stats(false)[0]; stats.Crashes != 1 || stats.Instance != "u-2" {
		t.Errorf("stats %+v", stats)
	}
}

// TestRequestReadDuringCrash checks that a request that was read during a crash
// is lost and does not count towards the following cold start. Such a request,
// 0.1 ms after the crash, once made the process test TestFaults, "upstream
// restarted", fail under load.
func TestRequestReadDuringCrash(t *testing.T) {
	s := newStub(t, func(spec *Spec) { spec.Cold = ColdStart{Warm: time.Minute, Rate: 5} })
	u := s.byID["u"]
	u.mu.Lock()
	u.crash()
	u.mu.Unlock()
	for i := range 3 {
		if refused := u.admit(&call{attempt: strconv.Itoa(i)}); refused == nil {
			t.Error("an upstream that is down accepted a request")
		}
	}
	if stats := s.Stats(false)[0]; stats.Falls != 0 || stats.Crashes != 1 || stats.Requests != 0 {
		t.Errorf("stats %+v", stats)
	}
}

func TestControlOverHTTP(t *testing.T) {
	s := newStub(t, nil)
	cases := map[string]int{
		`{"upstreams":["u"],"health":"down"}`: 200,
		`{"upstreams":["x"]}`:                 400,
		`{"crush":true}`:                      400,
	}
	for body, want := range cases {
		w := httptest.NewRecorder()
		s.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/control", bytes.NewReader([]byte(body))))
		if w.Code != want {
			t.Errorf("%s: %d", body, w.Code)
		}
	}
	response, err := http.Get("http://" + s.Address("u") + "/healthz")
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != 503 {
		t.Errorf("health %d", response.StatusCode)
	}
}
