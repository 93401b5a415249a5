// Command samphirebeam-demo starts stand-ins and eight hosts on loopback
// addresses, declares services, sends the same question to several hosts and
// prints the answers with the totals of the upstreams.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/samphirebeam/samphirebeam/standin/fleet"
)

// Timeouts, the question and the seed of the demonstration.
const (
	readyTimeout  = 30 * time.Second
	queryDeadline = 2 * time.Second
	stopTimeout   = 30 * time.Second
	question      = "survey plate 41, east harbour"
	seed          = 1
)

func main() {
	up := flag.Bool("up", false, "leave everything running until interrupted")
	flag.Parse()
	if err := run(*up); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

func run(keepRunning bool) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	program, err := os.Executable()
	if err != nil {
		return eris.Wrap(err, "own path")
	}
	dir, err := os.MkdirTemp("", "samphirebeam-demo-")
	if err != nil {
		return eris.Wrap(err, "settings folder")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	layout := fleet.DefaultLayout()
	f, err := fleet.Start(fleet.Config{Layout: layout, Seed: seed, Bin: filepath.Dir(program), Dir: dir})
	if err != nil {
		return err
	}
	defer f.Kill()
	if err := runQueries(f, layout); err != nil {
		return err
	}
	if keepRunning {
		printAddresses(f)
		<-ctx.Done()
	}
	fmt.Println("stopping all hosts by the planned stop")
	return f.Stop(stopTimeout)
}

// runQueries applies the declaration, sends the question to three hosts and
// prints the answers.
func runQueries(f *fleet.Fleet, layout fleet.Layout) error {
	fmt.Printf("%d hosts in %d failure domains, %d search services of 2 upstreams\n", layout.Hosts, layout.Domains, layout.Services)
	if err := f.Apply(); err != nil {
		return err
	}
	if err := f.AwaitReady(readyTimeout); err != nil {
		return err
	}
	fmt.Printf("the declaration is in force\n\nquestion: %q\n", question)
	for _, n := range []int{0, 3, 7} {
		if err := queryHost(f.Hosts[n]); err != nil {
			return err
		}
	}
	return printUpstreamTotals(f)
}

func queryHost(h *fleet.Host) error {
	reply, err := h.Query("demo-"+h.ID, question, queryDeadline)
	if err != nil {
		return err
	}
	if reply.Status != 200 {
		return eris.Errorf("through %s: %d %+v", h.ID, reply.Status, reply.Failure)
	}
	a := reply.Answer
	fmt.Printf("\nthrough %s in %s: %d ms, snapshot %d, coverage %.0f%%, reach met: %v, shards %d, sub-queries %d (%d extra), shared: %v\n",
		h.ID, h.Domain, reply.Took.Milliseconds(), a.Snapshot, 100*a.Coverage.Fraction, a.Coverage.ReachMet, len(a.Shards), a.Attempts, a.Extra, a.Shared)
	for _, r := range a.Results {
		fmt.Printf("  key %5d  score %.4f  %s\n", r.Key, r.Score, r.Value)
	}
	return nil
}

// printUpstreamTotals prints the summed counters of the upstreams.
func printUpstreamTotals(f *fleet.Fleet) error {
	stats, err := f.Stats(false)
	if err != nil {
		return err
	}
	var requests, ran, shed, falls uint64
	peak, connections := 0, 0
	for _, s := range stats {
		requests += s.Requests
		ran += s.Ran
		shed += s.Shed
		falls += s.Falls
		peak = max(peak, s.PeakRunning)
		connections += s.Connections
	}
	fmt.Printf("\nupstreams: %d requests, %d run, %d shed, %d falls; at most %d at once on one; %d connections in all\n",
		requests, ran, shed, falls, peak, connections)
	return nil
}

func printAddresses(f *fleet.Fleet) {
	fmt.Printf("\nplatform %s, upstream control %s\n", f.Platform, f.Upstreams)
	for _, h := range f.Hosts {
		fmt.Printf("%s: callers http://%s, operators http://%s, admin http://%s\n", h.ID, h.Caller, h.Operator, h.Admin)
	}
	fmt.Println("interrupt to stop")
}
