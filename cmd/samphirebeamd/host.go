package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"github.com/rotisserie/eris"

	"github.com/samphirebeam/samphirebeam/audit"
	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/host"
	"github.com/samphirebeam/samphirebeam/daemon"
	"github.com/samphirebeam/samphirebeam/internal/signals"
	"github.com/samphirebeam/samphirebeam/platform"
	"github.com/samphirebeam/samphirebeam/settings"
)

// gcPercent is how much the heap may grow between two garbage collections, in
// percent of the live heap. A host has a small live heap and allocates per
// sub-query, so it spends memory to save CPU time. The environment variable GOGC
// takes precedence.
const gcPercent = 400

// run runs the host until ctx ends.
func run(ctx context.Context, s settings.Settings) error {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	store, err := newStore(s)
	if err != nil {
		return err
	}
	defer store.Close()
	incarnation := uint64(time.Now().UnixMicro())
	bus := audit.NewBus()
	defer func() { _ = bus.Close() }()
	trail, err := newTrail(ctx, s, store, bus)
	if err != nil {
		return err
	}
	d, err := daemon.New(daemon.Config{
		Settings:    s,
		Incarnation: incarnation,
		NewCore:     func(self core.HostInfo) (daemon.Decider, error) { return host.New(hostConfig(s, self, incarnation)) },
		Store:       store,
		NewOperator: func(port daemon.Port) http.Handler { return newOperator(store, trail, port) },
		Status:      status,
		Counters:    func(decider daemon.Decider) map[string]uint64 { return decider.(*host.Host).Counters() },
		Ready:       ready,
		Log:         os.Stderr,
	})
	if err != nil {
		return err
	}
	go func() {
		for range signals.Reloads() {
			d.Reload()
		}
	}()
	return d.Run(ctx)
}

// check creates a decision core from the settings, which validates the
// parameters of the policies, and prints the effective settings.
func check(_ context.Context, s settings.Settings) error {
	self := core.HostInfo{Host: core.HostID(s.Host), Address: s.Peer.Address, Domain: core.DomainID(s.FailureDomain)}
	if _, err := host.New(hostConfig(s, self, 1)); err != nil {
		return err
	}
	printed, err := s.YAML()
	if err != nil {
		return eris.Wrap(err, "print settings")
	}
	_, err = os.Stdout.Write(printed)
	return err
}

func newStore(s settings.Settings) (*platform.Client, error) {
	return platform.NewClient(platform.ClientConfig{URL: s.Platform.URL, Timeout: s.Platform.Timeout})
}

func hostConfig(s settings.Settings, self core.HostInfo, incarnation uint64) host.Config {
	seed := s.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	return host.Config{
		Self:        self,
		Incarnation: incarnation,
		Seeds:       daemon.Seeds(s),
		Cell:        s.Cell,
		Seed:        seed,
		ExtraLoad:   s.Policy.ExtraLoad,
		Unshared:    s.Policy.Unshared,
		Policies: host.Policies{
			Router:    host.Policy(s.Policy.Router),
			Hedger:    host.Policy(s.Policy.Hedger),
			Admission: host.Policy(s.Policy.Admission),
			Limiter:   host.Policy(s.Policy.Limiter),
		},
	}
}

// adminStatus is the body of the admin API's /status.
type adminStatus struct {
	host.Status
	Stats host.Stats
}

func status(decider daemon.Decider) any {
	h := decider.(*host.Host)
	return adminStatus{h.Status(time.Now()), h.Stats()}
}

func ready(decider daemon.Decider) bool { return decider.(*host.Host).Ready() }
