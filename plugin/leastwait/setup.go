package leastwait

import (
	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/internal/parameters"
)

func init() { core.Routers.Register("leastwait", setup) }

func setup(o core.PolicyOptions) (core.Router, error) {
	if err := parameters.Read("leastwait", o.Parameters).Err(); err != nil {
		return nil, err
	}
	return New(), nil
}
