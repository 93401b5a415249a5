package random

import (
	"math/rand/v2"
	"testing"

	"github.com/samphirebeam/samphirebeam/core"
)

func TestPickIsUniformAndDeterministic(t *testing.T) {
	replicas := make([]core.Replica, 3)
	counts := make([]int, 3)
	first, second := New(rand.New(rand.NewPCG(1, 1))), New(rand.New(rand.NewPCG(1, 1)))
	for range 3000 {
		picked := first.Pick("s", replicas)
		counts[picked]++
		if second.Pick("s", replicas) != picked {
			t.Fatal("sources with the same seed gave different choices")
		}
	}
	for i, n := range counts {
		if n < 900 || n > 1100 {
			t.Errorf("replica %d was picked %d times of 3000", i, n)
		}
	}
}

func TestSetup(t *testing.T) {
	if _, err := core.Routers.New("random", core.PolicyOptions{}); err == nil {
		t.Error("created without a random source")
	}
}
