package ctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/go-chi/chi/v5"
	"github.com/rs/zerolog"

	"github.com/samphirebeam/samphirebeam/api/operator"
	"github.com/samphirebeam/samphirebeam/audit"
	"github.com/samphirebeam/samphirebeam/platform/platformfake"
	"github.com/samphirebeam/samphirebeam/resource"
)

const baseObjects = `kind: FailureDomain
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

// testTier is two hosts that share one fake platform.
type testTier struct {
	fake  *platformfake.Fake
	hosts []*httptest.Server

	mu      sync.Mutex
	inForce *resource.Document
	// secondLags makes host h2 report generation 0.
	secondLags bool
	// dropReply makes the first host close the connection without a reply after
	// it has processed the request.
	dropReply bool
}

func newTestTier(t *testing.T) *testTier {
	tier := &testTier{fake: platformfake.New(), inForce: &resource.Document{}}
	for range 2 {
		api := operator.New(operator.Config{
			Store:    tier.fake,
			Trail:    audit.New(audit.Config{Store: tier.fake, Log: zerolog.Nop()}),
			Accepted: tier.accepted,
			InForce: func() *resource.Document {
				tier.mu.Lock()
				defer tier.mu.Unlock()
				return tier.inForce
			},
			Status: tier.status,
		})
		router := chi.NewRouter()
		router.Mount("/v1", api)
		isFirst := len(tier.hosts) == 0
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			tier.mu.Lock()
			dropThis := tier.dropReply && isFirst
			tier.mu.Unlock()
			if !dropThis {
				router.ServeHTTP(w, r)
				return
			}
			router.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}))
		t.Cleanup(server.Close)
		tier.hosts = append(tier.hosts, server)
	}
	return tier
}

func (tier *testTier) accepted(document []byte, _ uint64) {
	doc, err := resource.DecodeDocument(document)
	if err != nil {
		panic(err)
	}
	tier.mu.Lock()
	defer tier.mu.Unlock()
	if doc.Generation > tier.inForce.Generation {
		tier.inForce = doc
	}
}

func (tier *testTier) status() (operator.Status, error) {
	tier.mu.Lock()
	defer tier.mu.Unlock()
	newest := tier.inForce.Generation
	secondGeneration := newest
	if tier.secondLags {
		secondGeneration = 0
	}
	return operator.Status{
		Hosts: []operator.HostStatus{
			{Host: "h1", Domain: "d1", State: operator.HostAlive, Generation: newest},
			{Host: "h2", Domain: "d2", State: operator.HostAlive, Generation: secondGeneration},
		},
		Shares:     []operator.Share{{Upstream: "u1", Owner: "h1", Epoch: 3}},
		Cold:       []operator.Cold{{Upstream: "u2", Limit: 1}},
		Quarantine: []operator.Quarantine{{Fingerprint: "ab12", LeftMs: 1500}},
	}, nil
}

func (tier *testTier) address(i int) string { return strings.TrimPrefix(tier.hosts[i].URL, "http://") }

// run runs one command line with the addresses of both hosts.
func (tier *testTier) run(t *testing.T, args ...string) (ExitCode, string, string) {
	t.Helper()
	return runCtl(t, append(args, "--host", tier.address(0)+","+tier.address(1), "--operator", "ann")...)
}

func runCtl(t *testing.T, args ...string) (ExitCode, string, string) {
	t.Helper()
	var out, errOut bytes.Buffer
	code := Run(t.Context(), args, IO{In: strings.NewReader(baseObjects), Out: &out, Err: &errOut})
	return code, out.String(), errOut.String()
}

func writeFile(t *testing.T, text string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "objects.yaml")
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return name
}

func newAppliedTier(t *testing.T) *testTier {
	t.Helper()
	tier := newTestTier(t)
	if code, _, text := tier.run(t, "apply", "-f", "-"); code != ExitOK {
		t.Fatal(text)
	}
	return tier
}

func TestCommands(t *testing.T) {
	partlyRefused := "kind: FailureDomain\nname: d3\n---\nkind: Scope\nname: b\nspec: {services: [s9], reach: 0}\n"
	invalid := "kind: FailureDomain\nname: d3\nspec: {stat: in}\n---\nkind: Rack\nname: r\n"
	tests := []struct {
		name string
		args []string
		code ExitCode
		// out and errOut must be contained in the two outputs.
		out, errOut string
	}{
		{"no command", []string{}, ExitUsage, "", "EXIT CODES"},
		{"unknown command", []string{"frobnicate"}, ExitUsage, "", "EXIT CODES"},
		{"help", []string{"apply", "-h"}, ExitOK, "", "EXAMPLES"},
		{"unknown flag", []string{"get", "--frob"}, ExitUsage, "", "flag provided but not defined"},
		{"unknown output", []string{"get", "-o", "xml"}, ExitUsage, "", "must be table, json or yaml"},
		{"apply without file", []string{"apply"}, ExitUsage, "", "want -f FILE"},
		{"apply missing file", []string{"apply", "-f", "no-such-file"}, ExitUsage, "", "no-such-file"},
		{"apply bad file", []string{"apply", "-f", writeFile(t, invalid)}, ExitUsage, "", "line 3: FailureDomain/d3: spec.stat: is not a known field; line 5: Rack/r: kind"},
		{"apply some", []string{"apply", "-f", writeFile(t, partlyRefused)}, ExitPartiallyAccepted, "FailureDomain/d3  accepted  2", ""},
		{"apply some, reason", []string{"apply", "-f", writeFile(t, partlyRefused)}, ExitPartiallyAccepted, "spec.services[0]: names Service/s9", ""},
		{"apply refused", []string{"apply", "-f", writeFile(t, "kind: Scope\nname: b\nspec: {services: [s9], reach: 0}")}, ExitRefused, "refused", ""},
		{"apply unchanged", []string{"apply", "-f", writeFile(t, baseObjects)}, ExitOK, "Scope/all         unchanged  1", ""},
		{"apply json", []string{"apply", "-f", writeFile(t, baseObjects), "-o", "json"}, ExitOK, `"outcome": "unchanged"`, ""},
		{"apply conflict", []string{"apply", "-f", writeFile(t, "kind: FailureDomain\nname: d1\nversion: 9")}, ExitConflict, "is 1, not 9", ""},
		{"get", []string{"get"}, ExitOK, "Upstream       u1    1        2/2       in, 10.0.0.1:80, s1 in d1, 2 slots, 25 connections", ""},
		{"get kind", []string{"get", "scopes"}, ExitOK, "1 services, reach 1, below it partial", ""},
		{"get yaml", []string{"get", "domain", "d1", "-o", "yaml"}, ExitOK, "kind: FailureDomain\nname: d1\nversion: 1\nspec:\n  state: in\n", ""},
		{"get json", []string{"get", "service", "s1", "-o", "json"}, ExitOK, `"name": "s1"`, ""},
		{"get missing", []string{"get", "domain", "d9"}, ExitRefused, "", "UnknownName: FailureDomain/d9 does not exist"},
		{"get unknown kind", []string{"get", "racks"}, ExitUsage, "", `kind "racks"`},
		{"describe", []string{"describe", "scope", "all"}, ExitOK, "ann  accepted", ""},
		{"delete", []string{"delete", "scope", "all"}, ExitOK, "Scope/all  accepted  -", ""},
		{"delete stale", []string{"delete", "scope", "all", "--version", "9"}, ExitConflict, "is 1, not 9", ""},
		{"delete used", []string{"delete", "service", "s1"}, ExitRefused, "still named by", ""},
		{"domain out", []string{"domain", "out", "d1", "--wait"}, ExitOK, "generation 2 in force on all 2 hosts", ""},
		{"domain missing", []string{"domain", "out", "d9"}, ExitRefused, "", "does not exist"},
		{"domain without name", []string{"domain", "out"}, ExitUsage, "", "want one name"},
		{"domain without state", []string{"domain"}, ExitUsage, "", "SUBCOMMANDS"},
		{"upstream leaving", []string{"upstream", "leaving", "u1"}, ExitOK, "Upstream/u1  accepted  2", ""},
		{"status", []string{"status"}, ExitOK, "h2    d2      alive  1           no", ""},
		{"status upstreams", []string{"status"}, ExitOK, "cold: u2, limit 1\nquarantined: question ab12, for 1.5s", ""},
		{"status yaml", []string{"status", "-o", "yaml"}, ExitOK, "generation: 1\n", ""},
		{"audit", []string{"audit"}, ExitOK, "FailureDomain/d1 ->1", ""},
		{"audit bad since", []string{"audit", "--since", "1000h"}, ExitRefused, "", "InvalidRequest: since"},
		{"bad host", []string{"status", "--host", "nowhere"}, ExitUsage, "", "must be ip:port"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Setenv("SAMPHIRECTL_HOST", newAppliedTier(t).address(0))
			t.Setenv("SAMPHIRECTL_OPERATOR", "ann")
			code, out, errOut := runCtl(t, tt.args...)
			if code != tt.code || !strings.Contains(out, tt.out) || !strings.Contains(errOut, tt.errOut) {
				t.Errorf("got %d\n%s\n%s\nwant %d\n%s\n%s", code, out, errOut, tt.code, tt.out, tt.errOut)
			}
		})
	}
}

// TestLastDomain checks that taking out the last failure domain or upstream in
// service is refused unless --override is given.
func TestLastDomain(t *testing.T) {
	tier := newAppliedTier(t)
	steps := []struct {
		args []string
		code ExitCode
	}{
		{[]string{"domain", "out", "d1"}, ExitOK},
		{[]string{"domain", "out", "d2"}, ExitRefused},
		{[]string{"upstream", "out", "u2"}, ExitRefused},
		{[]string{"domain", "out", "d2", "--override"}, ExitOK},
		{[]string{"domain", "in", "d1"}, ExitOK},
	}
	for _, step := range steps {
		if code, out, errOut := tier.run(t, step.args...); code != step.code {
			t.Errorf("%v: got %d\n%s%s", step.args, code, out, errOut)
		}
	}
}

func TestOutputCanBeAppliedAgain(t *testing.T) {
	tier := newAppliedTier(t)
	_, text, _ := tier.run(t, "get", "-o", "yaml")
	if code, out, errOut := tier.run(t, "apply", "-f", writeFile(t, text)); code != ExitOK || strings.Contains(out, "accepted") {
		t.Errorf("got %d\n%s%s", code, out, errOut)
	}
}

func TestHosts(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closedAddress := listener.Addr().String()
	_ = listener.Close()
	t.Run("first is dead", func(t *testing.T) {
		tier := newAppliedTier(t)
		if code, _, errOut := runCtl(t, "domain", "out", "d1", "--host", closedAddress+","+tier.address(1)); code != ExitOK {
			t.Errorf("got %d %s", code, errOut)
		}
	})
	t.Run("all are dead", func(t *testing.T) {
		if code, _, errOut := runCtl(t, "delete", "scope", "all", "--host", closedAddress); code != ExitUnavailable || !strings.Contains(errOut, "operation id") {
			t.Errorf("got %d %s", code, errOut)
		}
	})
	t.Run("answer lost, then another host", func(t *testing.T) {
		tier := newAppliedTier(t)
		tier.dropReply = true
		code, out, errOut := tier.run(t, "delete", "scope", "all", "--operation", "once")
		if code != ExitOK || !strings.Contains(out, "accepted") {
			t.Errorf("got %d\n%s%s", code, out, errOut)
		}
		if tier.inForce.Generation != 2 {
			t.Errorf("made %d changes", tier.inForce.Generation-1)
		}
	})
	t.Run("answer lost, no other host", func(t *testing.T) {
		tier := newAppliedTier(t)
		tier.dropReply = true
		code, _, errOut := runCtl(t, "delete", "scope", "all", "--host", tier.address(0)+","+closedAddress)
		if code != ExitUnknown || !strings.Contains(errOut, "operation id") {
			t.Errorf("got %d %s", code, errOut)
		}
	})
	t.Run("platform away", func(t *testing.T) {
		tier := newAppliedTier(t)
		tier.fake.SetFaults(platformfake.Faults{Down: true})
		code, out, errOut := tier.run(t, "get", "scope", "all", "--timeout", "1m")
		if code != ExitOK || !strings.Contains(out, "all") {
			t.Errorf("got %d\n%s%s", code, out, errOut)
		}
	})
	t.Run("environment", func(t *testing.T) {
		tier := newAppliedTier(t)
		t.Setenv("SAMPHIRECTL_HOST", tier.address(1))
		if code, _, errOut := runCtl(t, "status"); code != ExitOK {
			t.Errorf("got %d %s", code, errOut)
		}
		if code, _, _ := runCtl(t, "status", "--host", closedAddress); code != ExitUnavailable {
			t.Errorf("the flag does not go before the environment: got %d", code)
		}
	})
}

func TestWaitTimesOut(t *testing.T) {
	tier := newAppliedTier(t)
	tier.secondLags = true
	code, _, errOut := tier.run(t, "domain", "out", "d1", "--wait", "--wait-timeout", "50ms")
	if code != ExitNotInForce || !strings.Contains(errOut, "not in force after 50ms on: h2") {
		t.Errorf("got %d %s", code, errOut)
	}
}

func TestProgressOnATerminal(t *testing.T) {
	tier := newAppliedTier(t)
	var errOut bytes.Buffer
	code := Run(t.Context(), []string{"domain", "out", "d1", "--wait", "--host", tier.address(0)}, IO{Out: &bytes.Buffer{}, Err: &errOut, Terminal: true})
	if code != ExitOK || !strings.Contains(errOut.String(), "\rgeneration 2 in force on 2 of 2 hosts\n") {
		t.Errorf("got %d %q", code, errOut.String())
	}
}

func TestQuery(t *testing.T) {
	tests := []struct {
		name   string
		args   []string
		status int
		answer string
		code   ExitCode
		out    string
		// sent must be contained in the body that the host receives.
		path, sent string
	}{
		{"answered", []string{"all", "plate 1140"}, 200, `{"snapshot":7,"results":[{"key":4,"score":0.5,"value":"aGk="}],"coverage":{"fraction":1,"reach_met":true}}`, ExitOK, "4    0.5    hi\nsnapshot 7, coverage 1, reach met: true", "/v1/query", `"scope":"all","question_base64":"cGxhdGUgMTE0MA==","deadline_ms":340,"limit":20,"repeatable":true`},
		{"below reach", []string{"all", "q"}, 200, `{"results":[],"coverage":{"fraction":0.5,"reach_met":false}}`, ExitBelowReach, "reach met: false", "/v1/query", ""},
		{"once", []string{"all", "q", "--once"}, 200, `{"results":[],"coverage":{"fraction":1,"reach_met":true}}`, ExitOK, "", "/v1/query", `"repeatable":false`},
		{"call", []string{"--service", "fee", "pay", "--request", "r1"}, 200, `{"payload":"ZG9uZQ=="}`, ExitOK, "done", "/v1/call", `{"request_id":"r1","service":"fee","payload_base64":"cGF5","deadline_ms":340,"repeatable":false}`},
		{"call that may repeat", []string{"--service", "fee", "pay", "--once=false"}, 200, `{"payload":"ZG9uZQ=="}`, ExitOK, "done", "/v1/call", `"repeatable":true`},
		{"refused", []string{"all", "q"}, 503, `{"kind":"DeadlineUnreachable","ran":"not run","detail":"busy"}`, ExitRefused, "", "/v1/query", ""},
		{"overloaded", []string{"all", "q"}, 429, `{"kind":"Overloaded","ran":"not run"}`, ExitUnavailable, "", "/v1/query", ""},
		{"unknown", []string{"all", "q"}, 504, `{"kind":"OutcomeUnknown","ran":"unknown"}`, ExitUnknown, "", "/v1/query", ""},
		{"failed", []string{"all", "q"}, 502, `{"kind":"UpstreamFailed","ran":"run"}`, ExitFailed, "", "/v1/query", ""},
		{"json", []string{"all", "q", "-o", "json"}, 200, `{"results":[],"extra":3}`, ExitOK, `"extra": 3`, "/v1/query", ""},
		{"no question", []string{"all"}, 200, `{}`, ExitUsage, "", "", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var path string
			var sent json.RawMessage
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				path = r.URL.Path
				_ = json.NewDecoder(r.Body).Decode(&sent)
				w.WriteHeader(tt.status)
				_, _ = fmt.Fprint(w, tt.answer)
			}))
			defer server.Close()
			args := append([]string{"query"}, tt.args...)
			code, out, errOut := runCtl(t, append(args, "--deadline", "340ms", "--caller", strings.TrimPrefix(server.URL, "http://"))...)
			if code != tt.code || !strings.Contains(out, tt.out) || path != tt.path || !strings.Contains(string(sent), tt.sent) {
				t.Errorf("got %d\n%s\n%s\n%s %s", code, out, errOut, path, sent)
			}
		})
	}
}
