package roundrobin

import (
	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/internal/parameters"
)

func init() { core.Routers.Register("roundrobin", setup) }

func setup(o core.PolicyOptions) (core.Router, error) {
	if err := parameters.Read("roundrobin", o.Parameters).Err(); err != nil {
		return nil, err
	}
	return New(), nil
}
