package nohedge

import (
	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/internal/parameters"
)

func init() { core.Hedgers.Register("nohedge", setup) }

func setup(o core.PolicyOptions) (core.Hedger, error) {
	if err := parameters.Read("nohedge", o.Parameters).Err(); err != nil {
		return nil, err
	}
	return NoHedge{}, nil
}
