package random

import (
	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/internal/parameters"
)

func init() { core.Routers.Register("random", setup) }

func setup(o core.PolicyOptions) (core.Router, error) {
	if err := parameters.Read("random", o.Parameters).Err(); err != nil {
		return nil, err
	}
	return New(o.Random), nil
}
