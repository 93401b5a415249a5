package open

import (
	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/internal/parameters"
)

func init() { core.Admissions.Register("open", setup) }

func setup(o core.PolicyOptions) (core.Admission, error) {
	if err := parameters.Read("open", o.Parameters).Err(); err != nil {
		return nil, err
	}
	return Open{}, nil
}
