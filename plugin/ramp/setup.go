package ramp

import (
	"strconv"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// Name is the name under which the plug-in is registered.
const Name = "ramp"

// Options are the settings of the plug-in.
type Options struct {
	// BackOff is how long the limit of a warm upstream stays reduced after it
	// shed work. Shedding again within that time reduces it by one more.
	BackOff time.Duration
	// Growth divides the number of successes that a cold start needs, which is
	// Rate times Warm at a Growth of 1. It is at least 1.
	Growth float64
}

const (
	defaultBackOff = 100 * time.Millisecond
	defaultGrowth  = 2.0
)

func init() { core.Limiters.Register(Name, setup) }

func setup(o core.PolicyOptions) (func(*core.Upstream) core.Limiter, error) {
	options, err := parse(o.Parameters)
	if err != nil {
		return nil, err
	}
	return func(u *core.Upstream) core.Limiter { return New(u, options) }, nil
}

func parse(parameters map[string]string) (Options, error) {
	options := Options{BackOff: defaultBackOff, Growth: defaultGrowth}
	for key, value := range parameters {
		if err := options.set(key, value); err != nil {
			return Options{}, err
		}
	}
	return options, nil
}

func (o *Options) set(key, value string) error {
	var err error
	switch key {
	case "back_off":
		o.BackOff, err = time.ParseDuration(value)
	case "growth":
		o.Growth, err = strconv.ParseFloat(value, 64)
	default:
		return core.Errorf(core.InvalidRequest, "limiter %s: unknown parameter %q", Name, key)
	}
	valid := err == nil && o.BackOff >= 0 && o.Growth >= 1
	if !valid {
		return core.Errorf(core.InvalidRequest, "limiter %s: %s = %q", Name, key, value)
	}
	return nil
}
