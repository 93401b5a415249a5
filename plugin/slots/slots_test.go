package slots

import (
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

func TestLimitIsAlwaysTheSlots(t *testing.T) {
	makeLimiter, err := core.Limiters.New(Name, core.PolicyOptions{})
	if err != nil {
		t.Fatal(err)
	}
	l := makeLimiter(&core.Upstream{Slots: 3})
	now := time.Unix(1_800_000_000, 0)
	l.Restarted(now)
	l.Failed(now, core.UpstreamShed)
	if limit, next := l.Limit(now); limit != 3 || !next.IsZero() || l.Cold(now) {
		t.Errorf("limit %d, next %v, cold %v", limit, next, l.Cold(now))
	}
}

func TestUnknownParameterIsRefused(t *testing.T) {
	_, err := core.Limiters.New(Name, core.PolicyOptions{Parameters: map[string]string{"speed": "1"}})
	if err == nil {
		t.Error("an unknown parameter was accepted")
	}
}
