// Package docs holds tests that compare the pages with the program.
package docs

import (
	"flag"
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/host"
	"github.com/samphirebeam/samphirebeam/load"
	"github.com/samphirebeam/samphirebeam/settings"

	_ "github.com/samphirebeam/samphirebeam/plugin/all"
)

func read(t *testing.T, file string) string {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// wantRows fails unless the table rows that match are exactly the wanted ones.
func wantRows(t *testing.T, file, match string, want []string) {
	t.Helper()
	got := regexp.MustCompile(match).FindAllString(read(t, file), -1)
	for i := range max(len(got), len(want)) {
		switch {
		case i >= len(got):
			t.Errorf("%s lacks the row %s", file, want[i])
		case i >= len(want):
			t.Errorf("%s has the row %s, which is nothing", file, got[i])
		case got[i] != want[i]:
			t.Errorf("%s has the row %s, want %s", file, got[i], want[i])
		}
	}
}

func TestErrorKindsTable(t *testing.T) {
	yes := map[bool]string{true: "yes", false: "no"}
	var want []string
	for _, kind := range core.Kinds() {
		row := core.AnswerTo(kind)
		want = append(want, fmt.Sprintf("| `%s` | %d | %s | %s | %s |", row.Name, row.Status, row.Ran, yes[row.MayRepeat], yes[row.HasRetryAfter]))
	}
	wantRows(t, "API.md", "(?m)^\\| `[A-Z][A-Za-z]+` \\| \\d+ \\|[^|]*\\|[^|]*\\|[^|]*\\|", want)
}

func TestSettingsTable(t *testing.T) {
	fs := flag.NewFlagSet("", flag.ContinueOnError)
	settings.NewSource(fs)
	rows := regexp.MustCompile("(?m)^\\| `([a-z_.]+)` \\| ([^|]+) \\| ([^|]+) \\|$").FindAllStringSubmatch(read(t, "operators/start.md"), -1)
	seen := map[string]bool{"config": true}
	for _, row := range rows {
		name := strings.NewReplacer(".", "-", "_", "-").Replace(row[1])
		f := fs.Lookup(name)
		if f == nil {
			t.Errorf("no setting %s", row[1])
			continue
		}
		seen[name] = true
		if shown := shownDefault(f.DefValue); row[2] != shown || row[3] != f.Usage {
			t.Errorf("%s: page says %q, %q; program says %q, %q", row[1], row[2], row[3], shown, f.Usage)
		}
	}
	fs.VisitAll(func(f *flag.Flag) {
		if !seen[f.Name] {
			t.Errorf("start.md lacks the setting of flag %s", f.Name)
		}
	})
}

func shownDefault(value string) string {
	if value == "" {
		return "empty"
	}
	return "`" + value + "`"
}

// TestPromisesNameTests looks up each test that stands behind its file's name.
func TestPromisesNameTests(t *testing.T) {
	file := ""
	for _, name := range regexp.MustCompile("`[^`]+`").FindAllString(read(t, "PROMISES.md"), -1) {
		switch name = strings.Trim(name, "`"); {
		case strings.HasSuffix(name, "_test.go"):
			file = name
		case strings.HasPrefix(name, "Test"):
			if !strings.Contains(read(t, "../"+file), "func "+name+"(") {
				t.Errorf("%s has no %s", file, name)
			}
		}
	}
}

// TestMetricsTable compares the page with the names that the daemon registers.
func TestMetricsTable(t *testing.T) {
	var source string
	for _, file := range []string{"metrics.go", "servers.go"} {
		source += read(t, "../daemon/"+file)
	}
	page := read(t, "operators/metrics.md")
	names := regexp.MustCompile("(?:gauge\\(|GetOrRegister[A-Z][a-z]+\\((?:fmt\\.Sprintf\\()?)\"([a-z_]+)").FindAllStringSubmatch(source, -1)
	if len(names) == 0 {
		t.Fatal("no metrics found")
	}
	for _, name := range names {
		if !strings.Contains(page, "| `"+name[1]+"` |") {
			t.Errorf("metrics.md lacks %s", name[1])
		}
	}
	for name := range newHost(t).Counters() {
		if !strings.Contains(page, "`"+name+"`") {
			t.Errorf("metrics.md lacks %s", name)
		}
	}
}

// newHost makes a decision core with the default policies.
func newHost(t *testing.T) *host.Host {
	t.Helper()
	policies := settings.Defaults().Policy
	h, err := host.New(host.Config{
		Self:        core.HostInfo{Host: "h", Address: "127.0.0.1:1", Domain: "d"},
		Incarnation: 1,
		Cell:        "main",
		Policies: host.Policies{
			Router:    host.Policy(policies.Router),
			Hedger:    host.Policy(policies.Hedger),
			Admission: host.Policy(policies.Admission),
			Limiter:   host.Policy(policies.Limiter),
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	return h
}

func TestNamedScenariosExist(t *testing.T) {
	for _, page := range []string{"../README.md", "PROMISES.md", "operators/start.md"} {
		for _, name := range regexp.MustCompile(`scenarios/[a-z-]+\.yaml`).FindAllString(read(t, page), -1) {
			if _, err := load.ReadScenario("../" + name); err != nil {
				t.Errorf("%s: %v", page, err)
			}
		}
	}
}
