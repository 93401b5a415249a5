package quantile

import (
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/internal/parameters"
)

func init() { core.Hedgers.Register("quantile", setup) }

func setup(o core.PolicyOptions) (core.Hedger, error) {
	r := parameters.Read("quantile", o.Parameters)
	options := Options{
		Quantile:        r.Float("quantile", 0.95, 0.5, 0.999),
		Factor:          r.Float("factor", defaultFactor, 1, 100),
		Window:          r.Int("window", 1000, 20, 1_000_000),
		MinObservations: r.Int("least", 50, 1, 1_000_000),
		Floor:           r.Duration("floor", time.Millisecond, 0, time.Minute),
	}
	if err := r.Err(); err != nil {
		return nil, err
	}
	return New(options), nil
}
