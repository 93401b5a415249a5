// Package random provides a router that selects a replica uniformly at random. It
// is the baseline against which the other routers are measured.
package random

import (
	"math/rand/v2"

	"github.com/samphirebeam/samphirebeam/core"
)

// Random is a core.Router.
type Random struct{ source *rand.Rand }

// New returns a Random that draws from source.
func New(source *rand.Rand) *Random { return &Random{source: source} }

// Pick returns a random index.
func (r *Random) Pick(_ core.ServiceID, replicas []core.Replica) int {
	return r.source.IntN(len(replicas))
}
