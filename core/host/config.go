package host

import (
	"math/rand/v2"

	"github.com/samphirebeam/samphirebeam/core"
)

// Config configures a Host.
type Config struct {
	Self core.HostInfo
	// Incarnation distinguishes this start of the host from earlier ones; it is
	// the start time in Unix microseconds.
	Incarnation uint64
	// Seeds are hosts to contact before the platform's host list is known.
	Seeds []core.HostInfo
	// Cell is the name of the lease table to which this host belongs.
	Cell string
	// Seed seeds the random sources of the host.
	Seed uint64
	// ExtraLoad limits hedges and retries, as a fraction of sub-queries.
	ExtraLoad float64
	Policies  Policies
	// Unshared disables shares and single-flight, so that each host acts alone. It
	// is the naive baseline for measurements.
	Unshared bool
}

// Policy is the name of a registered plug-in and its parameters.
type Policy struct {
	Name       string
	Parameters map[string]string
}

// Policies selects the plug-in of each kind.
type Policies struct {
	Router    Policy
	Hedger    Policy
	Admission Policy
	Limiter   Policy
}

// DefaultPolicies returns the default policies.
func DefaultPolicies() Policies {
	return Policies{
		Router:    Policy{Name: "leastwait"},
		Hedger:    Policy{Name: "quantile"},
		Admission: Policy{Name: "expected"},
		Limiter:   Policy{Name: "ramp"},
	}
}

// NaivePolicies returns the policies of the naive baseline: a random replica,
// no hedge, no admission, a retry on failure.
func NaivePolicies() Policies {
	return Policies{
		Router:    Policy{Name: "random"},
		Hedger:    Policy{Name: "nohedge"},
		Admission: Policy{Name: "open"},
		Limiter:   Policy{Name: "slots"},
	}
}

func (c *Config) options(p Policy, stream uint64) core.PolicyOptions {
	return core.PolicyOptions{
		Random:     rand.New(rand.NewPCG(c.Seed, stream)),
		Parameters: p.Parameters,
	}
}
