package slots

import "github.com/samphirebeam/samphirebeam/core"

// Name is the name under which the plug-in is registered.
const Name = "slots"

func init() { core.Limiters.Register(Name, setup) }

func setup(o core.PolicyOptions) (func(*core.Upstream) core.Limiter, error) {
	for key := range o.Parameters {
		return nil, core.Errorf(core.InvalidRequest, "limiter %s: unknown parameter %q", Name, key)
	}
	return func(u *core.Upstream) core.Limiter { return New(u) }, nil
}
