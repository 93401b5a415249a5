package roundrobin

import (
	"testing"

	"github.com/samphirebeam/samphirebeam/core"
)

func replicas(names ...core.UpstreamID) []core.Replica {
	var made []core.Replica
	for _, name := range names {
		made = append(made, core.Replica{Upstream: name})
	}
	return made
}

// The rotation continues by name while replicas come and go, in any order.
func TestPickTakesTurns(t *testing.T) {
	steps := []struct {
		service  core.ServiceID
		replicas []core.Replica
		want     core.UpstreamID
	}{
		{"s", replicas("a", "b", "c"), "a"},
		{"s", replicas("a", "b", "c"), "b"},
		{"other", replicas("a", "b"), "a"},
		{"s", replicas("c", "a", "b"), "c"},
		{"s", replicas("b", "a"), "a"},
		{"s", replicas("c", "a"), "c"},
		{"s", replicas("a"), "a"},
		{"s", replicas("b", "a"), "b"},
	}
	r := New()
	for i, step := range steps {
		if got := step.replicas[r.Pick(step.service, step.replicas)].Upstream; got != step.want {
			t.Fatalf("step %d: %s, want %s", i, got, step.want)
		}
	}
}
