package billiard

import (
	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/internal/parameters"
)

func init() { core.Routers.Register("billiard", setup) }

func setup(o core.PolicyOptions) (core.Router, error) {
	if err := parameters.Read("billiard", o.Parameters).Err(); err != nil {
		return nil, err
	}
	return New(), nil
}
