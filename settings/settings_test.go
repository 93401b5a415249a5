package settings

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/peterbourgon/ff/v3"

	"github.com/samphirebeam/samphirebeam/core"
)

func init() {
	core.Routers.Register("leastwait", func(core.PolicyOptions) (core.Router, error) { return nil, nil })
}

// read parses a settings file with the given text, and flags.
func read(t *testing.T, file string, args ...string) (Settings, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "s.yaml")
	if err := os.WriteFile(path, []byte(file), 0o600); err != nil {
		t.Fatal(err)
	}
	fs := flag.NewFlagSet("test", flag.ContinueOnError)
	source := NewSource(fs)
	if err := ff.Parse(fs, append(args, "-config", path), source.Options()...); err != nil {
		t.Fatal(err)
	}
	return source.Read()
}

func TestFaults(t *testing.T) {
	cases := []struct {
		name, file string
		args       []string
		want       []string // a substring of each fault, in order
	}{
		{"defaults", "", nil, nil},
		{"unknown key", "host: a\npeer:\n  port: 127.0.0.1:1\n", nil, []string{"s.yaml:3: peer.port: unknown key"}},
		{"flag form in file", "peer-address: 127.0.0.1:1\n", nil, []string{"s.yaml:1: peer-address: unknown key"}},
		{"no unit", "stop:\n  timeout: 30\n", nil, []string{`s.yaml:2: stop.timeout: "30" is not a time with its unit`}},
		{"not a number", "peer: {queue: many}\n", nil, []string{`peer.queue: "many" is not a whole number`}},
		{"twice", "host: a\nhost: b\n", nil, []string{"s.yaml:2: host: is given twice"}},
		{"section for a value", "host: {a: b}\n", nil, []string{"s.yaml:1: host: has the wrong form"}},
		{"value for a section", "peer: 7\n", nil, []string{"s.yaml:1: peer: holds settings"}},
		{"not YAML", "peer: [\n", nil, []string{"s.yaml: yaml: line"}},
		{"no address", "caller: {address: localhost}\n", nil, []string{`s.yaml:1: caller.address: "localhost" is not ip:port`}},
		{"wildcard", "peer: {address: '0.0.0.0:7'}\n", nil, []string{"peer.advertise: is needed"}},
		{"bad seed", "peer:\n  seeds: [h2]\n", nil, []string{`s.yaml:2: peer.seeds: "" is not ip:port`}},
		{"bad flag", "", []string{"-ring-inbox", "x"}, []string{`ring.inbox: "x" is not`}},
		{"bounds", "ring: {inbox: 0}\n", nil, []string{"ring.inbox: must be at least 1"}},
		{"backoff", "peer: {backoff_min: 2s}\n", nil, []string{"peer.backoff_max: must be at least"}},
		{"pprof outside", "admin: {address: '10.0.0.1:1', pprof: true}\n", nil, []string{"admin.pprof: needs a loopback"}},
		{"half TLS", "peer: {tls: {key: k.pem}}\n", nil, []string{"peer.tls: needs certificate"}},
		{"policy", "policy: {router: {name: magic}}\n", nil, []string{`policy.router.name: no router "magic", known: leastwait`}},
		{"extra load", "policy: {extra_load: 1.5}\n", nil, []string{"policy.extra_load: must be from 0 to 1"}},
		{"level", "log: {level: loud}\n", nil, []string{`log.level: "loud"`}},
		{"host name", "host: 'a b'\n", nil, []string{`host: "a b" is not a name`}},
		{"platform", "platform: {url: 'ftp://x'}\n", nil, []string{"platform.url:"}},
		{
			"all at once", "hots: a\nstop: {timeout: 3}\nlog: {level: loud}\n",
			[]string{"-seed", "-1"},
			[]string{"seed:", "s.yaml:1: hots: unknown", "s.yaml:2: stop.timeout", "s.yaml:3: log.level"},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := read(t, c.file, c.args...)
			var got []string
			if err != nil {
				got = strings.Split(err.Error(), "\n")
			}
			if len(got) != len(c.want) {
				t.Fatalf("faults:\n%s\nwant %q", strings.Join(got, "\n"), c.want)
			}
			for i, want := range c.want {
				if !strings.Contains(got[i], want) {
					t.Errorf("fault %q, want %q", got[i], want)
				}
			}
		})
	}
}

func TestOrderOfSources(t *testing.T) {
	t.Setenv("SAMPHIREBEAM_HOST", "by-env")
	t.Setenv("SAMPHIREBEAM_FAILURE_DOMAIN", "by-env")
	s, err := read(t, "host: by-file\nfailure_domain: by-file\nlog: {level: warn}\n", "-host", "by-flag")
	if err != nil {
		t.Fatal(err)
	}
	if s.Host != "by-flag" || s.FailureDomain != "by-env" || s.Log.Level != "warn" || s.Peer.Batch != 64 {
		t.Errorf("host %s, domain %s, level %s, batch %d", s.Host, s.FailureDomain, s.Log.Level, s.Peer.Batch)
	}
}

// TestPrintedSettingsRoundTrip checks that printed settings, read and printed again,
// stay the same.
func TestPrintedSettingsRoundTrip(t *testing.T) {
	first, err := read(t, "host: a\npeer: {seeds: ['b=127.0.0.1:9', 'c=127.0.0.1:8']}\npolicy: {hedger: {parameters: {quantile: '0.95', floor: 2ms}}}\nadmin: {pprof: true}\n")
	if err != nil {
		t.Fatal(err)
	}
	printed, err := first.YAML()
	if err != nil {
		t.Fatal(err)
	}
	second, err := read(t, string(printed))
	if err != nil {
		t.Fatalf("%v in\n%s", err, printed)
	}
	again, _ := second.YAML()
	if string(again) != string(printed) || second.Policy.Hedger.Parameters["quantile"] != "0.95" {
		t.Errorf("printed:\n%s\nread back:\n%s", printed, again)
	}
}
