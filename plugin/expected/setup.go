package expected

import (
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/internal/parameters"
)

func init() { core.Admissions.Register("expected", setup) }

func setup(o core.PolicyOptions) (core.Admission, error) {
	r := parameters.Read("expected", o.Parameters)
	e := &Expected{
		Factor:        r.Float("factor", 2.5, 0.1, 10),
		MaxRunning:    r.Int("running", 0, 0, 1<<20),
		MinRetryAfter: r.Duration("least_wait", 10*time.Millisecond, time.Millisecond, time.Minute),
	}
	if err := r.Err(); err != nil {
		return nil, err
	}
	return e, nil
}
