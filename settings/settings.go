// Package settings reads the settings of one daemon from a YAML file, environment
// variables (SAMPHIREBEAM_...) and flags. Environment variables override the file,
// and flags override both. Unknown keys and invalid values are errors, and all
// errors are reported together.
package settings

import "time"

// Settings are the settings of one daemon. The unit of a size is part of its name;
// a time.Duration is written with its unit, as in "250ms".
type Settings struct {
	// Host is the name of this host, FailureDomain that of its failure domain.
	Host          string
	FailureDomain string
	// Cell is the name of the lease table that this host belongs to.
	Cell string
	// Seed seeds the random number generator; 0 chooses a random seed.
	Seed     uint64
	Peer     Peer
	Caller   Caller
	Operator Operator
	Admin    Admin
	Platform Platform
	Upstream Upstream
	Policy   Policies
	Ring     Ring
	Stop     Stop
	Log      Log
}

// Peer configures the connections to other hosts.
type Peer struct {
	// Address is the address that the peer service listens on. Advertise is the
	// address that other hosts connect to; if empty, it is Address.
	Address   string
	Advertise string
	// Seeds are the hosts to connect to first, each as "host=ip:port".
	Seeds                  []string
	Queue                  int
	Batch                  int
	ConnectTimeout         time.Duration
	BackoffMin, BackoffMax time.Duration
	// OneWayDelay delays messages between hosts, for measurements only.
	OneWayDelay time.Duration
	TLS         TLS
}

// TLS holds the paths of PEM files. Either all of them are set or none.
type TLS struct{ Certificate, Key, Authority string }

// Caller configures the HTTP API for callers.
type Caller struct {
	Address      string
	MaxBodyBytes int64
	MaxDeadline  time.Duration
	MaxLimit     int
	// Grace is how long a request waits for its reply after its deadline.
	Grace time.Duration
}

// Operator configures the resource API.
type Operator struct{ Address string }

// Admin configures the server of metrics, health and status. Pprof requires a
// loopback address.
type Admin struct {
	Address string
	Pprof   bool
}

// Platform configures the client of the platform's object API.
type Platform struct {
	URL string
	// Timeout limits a call that has no timeout of its own.
	Timeout time.Duration
	// WatchTimeout is how long one watch call waits for a change.
	WatchTimeout time.Duration
}

// Upstream configures the client of the upstreams.
type Upstream struct {
	ConnectTimeout time.Duration
	MaxBodyBytes   int64
}

// Policies selects the plug-ins of the decision core.
type Policies struct {
	Router, Hedger, Admission, Limiter Policy
	// ExtraLoad limits hedges and retries, as a fraction of sub-queries.
	ExtraLoad float64
	// Unshared makes the host act alone, without shares: the naive baseline for
	// measurements.
	Unshared bool
}

// Policy holds the name and the parameters of one plug-in.
type Policy struct {
	Name       string
	Parameters map[string]string
}

// Ring holds the capacities of the ring buffers between duties, in items.
type Ring struct {
	Inbox, Platform, Records int
}

// Stop configures the planned stop.
type Stop struct {
	Timeout time.Duration
	// Linger is how long the host keeps rejecting requests after its own work is
	// done, because the platform's load balancer stops sending with a delay.
	Linger time.Duration
}

// Log configures the log. Level is debug, info, warn or error.
type Log struct{ Level string }

// Defaults returns the default settings, which use loopback addresses.
func Defaults() Settings {
	return Settings{
		Host:          "host-1",
		FailureDomain: "domain-1",
		Cell:          "main",
		Peer: Peer{
			Address:        "127.0.0.1:7101",
			Queue:          8192,
			Batch:          64,
			ConnectTimeout: 500 * time.Millisecond,
			BackoffMin:     20 * time.Millisecond,
			BackoffMax:     time.Second,
		},
		Caller: Caller{
			Address:      "127.0.0.1:7102",
			MaxBodyBytes: 1 << 20,
			MaxDeadline:  time.Minute,
			MaxLimit:     10_000,
			Grace:        time.Second,
		},
		Operator: Operator{Address: "127.0.0.1:7103"},
		Admin:    Admin{Address: "127.0.0.1:7104"},
		Platform: Platform{
			URL:          "http://127.0.0.1:7100",
			Timeout:      time.Second,
			WatchTimeout: 30 * time.Second,
		},
		Upstream: Upstream{ConnectTimeout: 500 * time.Millisecond, MaxBodyBytes: 4 << 20},
		Policy: Policies{
			Router:    Policy{Name: "leastwait"},
			Hedger:    Policy{Name: "quantile"},
			Admission: Policy{Name: "expected"},
			Limiter:   Policy{Name: "ramp"},
			ExtraLoad: 0.05,
		},
		Ring: Ring{Inbox: 65_536, Platform: 1024, Records: 4096},
		Stop: Stop{Timeout: 30 * time.Second, Linger: 500 * time.Millisecond},
		Log:  Log{Level: "info"},
	}
}
