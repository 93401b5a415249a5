package processtest

import (
	"fmt"
	"os"
	"os/exec"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/standin/fleet"
)

// binDir is the directory of the built programs.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	var err error
	binDir, err = os.MkdirTemp("", "samphirebeam-processtest-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(binDir) }()
	build := exec.Command("go", "build", "-o", binDir+"/", "../cmd/samphirebeamd", "../cmd/standin")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s%v\n", out, err)
		return 1
	}
	return m.Run()
}

const seed = 11

// start starts a fleet and waits until it gives whole answers.
func start(t *testing.T, layout fleet.Layout) *fleet.Fleet {
	t.Helper()
	f, err := fleet.Start(fleet.Config{Layout: layout, Seed: seed, Bin: binDir, Dir: t.TempDir(), Forward: true})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { killAndLog(t, f) })
	if err := f.Apply(); err != nil {
		t.Fatal(err)
	}
	if err := f.AwaitReady(30 * time.Second); err != nil {
		t.Fatal(err)
	}
	awaitWhole(t, f)
	return f
}

// killAndLog kills all processes. If the test has failed, it prints the end of
// the hosts' logs.
func killAndLog(t *testing.T, f *fleet.Fleet) {
	f.Kill()
	if !t.Failed() {
		return
	}
	for _, h := range f.Hosts {
		out := h.Output()
		t.Logf("%s: %s", h.ID, out[max(0, len(out)-6000):])
	}
}

// awaitWhole waits until every host gives a whole answer, for which it must hold
// its shares of the upstreams.
func awaitWhole(t *testing.T, f *fleet.Fleet) {
	t.Helper()
	for _, h := range f.Hosts {
		eventually(t, "a whole answer through "+h.ID, 30*time.Second, func() bool {
			if h.Ended() {
				return true
			}
			reply, err := h.Query("warm", fmt.Sprint("warm ", time.Now()), time.Second)
			return err == nil && whole(reply)
		})
	}
}

// awaitWarm waits until no host treats a search upstream as cold. Upstreams warm
// up only under load.
func awaitWarm(t *testing.T, f *fleet.Fleet) {
	t.Helper()
	for _, h := range f.Hosts {
		eventually(t, "warm upstreams at "+h.ID, 30*time.Second, func() bool {
			cold, err := h.Cold()
			search := func(upstream string) bool { return strings.HasPrefix(upstream, "search-") }
			return err == nil && !slices.ContainsFunc(cold, search)
		})
	}
}

func whole(r fleet.Reply) bool {
	return r.Status == 200 && r.Answer.Coverage != nil && r.Answer.Coverage.Fraction == 1
}

func eventually(t *testing.T, what string, bound time.Duration, holds func() bool) {
	t.Helper()
	for until := time.Now().Add(bound); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("%s: not within %v", what, bound)
		}
	}
}
