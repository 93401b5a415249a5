package billiard

import (
	"strings"
	"testing"

	"github.com/samphirebeam/samphirebeam/core"
)

func pickSequence(b *Billiard, n int, replicas ...core.Replica) string {
	var picked strings.Builder
	for range n {
		picked.WriteString(string(replicas[b.Pick("s", replicas)].Upstream))
	}
	return picked.String()
}

func TestSharesAreSpreadEvenly(t *testing.T) {
	a, b := core.Replica{Upstream: "a", Limit: 2}, core.Replica{Upstream: "b", Limit: 2}
	fast := core.Replica{Upstream: "f", Limit: 6}
	if got := pickSequence(New(), 6, a, b); got != "ababab" {
		t.Errorf("equal replicas: %s", got)
	}
	// The slow replica's share is 1/4: one in any four consecutive picks.
	got := pickSequence(New(), 40, a, fast)
	for i := 4; i+4 <= len(got); i++ {
		if strings.Count(got[i:i+4], "a") != 1 {
			t.Fatalf("uneven: %s", got)
		}
	}
}

// A replica that returns or is new gets its share, not all it has missed.
func TestReturningReplicaIsNotFlooded(t *testing.T) {
	a, b := core.Replica{Upstream: "a", Limit: 2}, core.Replica{Upstream: "b", Limit: 2}
	r := New()
	pickSequence(r, 3, a, b)
	pickSequence(r, 100, a)
	if n := strings.Count(pickSequence(r, 10, a, b), "b"); n > 6 {
		t.Errorf("the returning replica got %d of 10", n)
	}
	c := core.Replica{Upstream: "c", Limit: 2}
	if n := strings.Count(pickSequence(r, 9, a, b, c), "c"); n < 2 || n > 4 {
		t.Errorf("the new replica got %d of 9", n)
	}
}
