package load

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// A slow answer must not delay later requests, and latency must be measured
// from the intended send time.
func TestEngineIsOpenLoop(t *testing.T) {
	const serviceTime = 400 * time.Millisecond
	slow := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(serviceTime)
		_, _ = w.Write([]byte(`{"coverage":{"fraction":1},"attempts":3,"extra":1}`))
	}))
	defer slow.Close()
	start := time.Now()
	scenario := &Scenario{Workloads: []Workload{{Scope: "s", RatePerSecond: 100, Deadline: 5 * time.Second}}}
	engine := &Engine{Scenario: scenario, BaseURLs: []string{slow.URL}, Client: NewClient(), Recorder: NewRecorder(start)}
	engine.Run(context.Background(), start, start.Add(time.Second))
	s := engine.Recorder.Summary("chosen")
	// A closed loop with one request in flight would send two or three requests.
	if s.Good < 50 || s.P50Ms < float64(serviceTime.Milliseconds()) {
		t.Errorf("sent %d at p50 %.0f ms: not open loop", s.Good, s.P50Ms)
	}
	if s.ExtraLoad != 0.5 || s.Coverage != 1 {
		t.Errorf("extra %v coverage %v, want 0.5 and 1", s.ExtraLoad, s.Coverage)
	}
}

func TestReadScenarioRejectsInvalidFiles(t *testing.T) {
	const valid = "name: x\nduration: 1s\nhosts: 1\ndomains: [a]\npolicies: [chosen]\nworkloads: [{scope: s, rate_per_second: 1, deadline: 1s}]\n"
	tests := []struct{ name, text, want string }{
		{"unknown key with line", valid + "oops: 1\n", "line 7"},
		{"no name", strings.Replace(valid, "name: x", "name: ''", 1), "name: missing"},
		{"bad policy", strings.Replace(valid, "chosen", "best", 1), `policies[0]: unknown "best"`},
		{"bad fault", valid + "faults: [{at: 1s, do: explode}]\n", `faults[0].do: unknown "explode"`},
		{"two targets", strings.Replace(valid, "scope: s", "scope: s, service_prefix: p", 1), "one of scope and service_prefix"},
	}
	for _, test := range tests {
		path := filepath.Join(t.TempDir(), "s.yaml")
		if err := os.WriteFile(path, []byte(test.text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := ReadScenario(path)
		if err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("%s: got %v, want %q", test.name, err, test.want)
		}
	}
}

func TestHTMLReportIsSelfContained(t *testing.T) {
	r := &Result{Scenario: "x", Summaries: []Summary{
		{Policy: "chosen", P99Ms: 10, Timeline: []Point{{Second: 0}, {Second: 1, P99Ms: 4}}},
		{Policy: "naive", P99Ms: 30},
	}}
	var page bytes.Buffer
	if err := r.WriteHTML(&page); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"<svg", "naive/chosen", "3.00"} {
		if !strings.Contains(page.String(), want) {
			t.Errorf("the page lacks %q", want)
		}
	}
	if strings.Contains(page.String(), "src=") || strings.Contains(page.String(), "href=") {
		t.Error("the page refers to another file")
	}
}
