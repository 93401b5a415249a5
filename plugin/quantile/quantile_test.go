package quantile

import (
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

func observe(q *Quantile, service core.ServiceID, from, to, step time.Duration) {
	for took := from; took < to; took += step {
		q.Observe(service, took)
	}
}

func wantDelayNear(t *testing.T, q *Quantile, service core.ServiceID, want time.Duration) {
	t.Helper()
	got, ok := q.Delay(service)
	if !ok || got < want*9/10 || got > want*11/10 {
		t.Errorf("delay %v, %v; want about %v", got, ok, want)
	}
}

func TestDelayFollowsTheService(t *testing.T) {
	q := New(Options{Quantile: 0.95, Window: 1000, MinObservations: 50, Factor: 1})
	observe(q, "s", 0, 49*time.Millisecond, time.Millisecond)
	if _, ok := q.Delay("s"); ok {
		t.Error("hedged with too few observations")
	}
	observe(q, "s", 49*time.Millisecond, 1000*time.Millisecond, time.Millisecond)
	wantDelayNear(t, q, "s", 950*time.Millisecond)
	wantDelayNear(t, q, "other", 950*time.Millisecond)
	for range 2100 {
		q.Observe("s", 20*time.Millisecond)
	}
	wantDelayNear(t, q, "s", 20*time.Millisecond)
	observe(q, "other", 5*time.Minute, 6*time.Minute, time.Second)
	wantDelayNear(t, q, "other", maxTime)
	wantDelayNear(t, q, "s", 20*time.Millisecond)
}

func TestFloor(t *testing.T) {
	q := New(Options{Quantile: 0.5, Window: 100, MinObservations: 1, Factor: 1, Floor: 7 * time.Millisecond})
	q.Observe("s", -time.Second)
	wantDelayNear(t, q, "s", 7*time.Millisecond)
}

func TestSetup(t *testing.T) {
	for _, bad := range []map[string]string{
		{"quantile": "1.5"}, {"quantile": "NaN"}, {"quantile": "much"}, {"window": "0"}, {"floor": "5"}, {"speed": "1"},
	} {
		if _, err := core.Hedgers.New("quantile", core.PolicyOptions{Parameters: bad}); err == nil {
			t.Errorf("%v was accepted", bad)
		}
	}
	good := map[string]string{"quantile": "0.9", "window": "500", "least": "20", "floor": "2ms"}
	if _, err := core.Hedgers.New("quantile", core.PolicyOptions{Parameters: good}); err != nil {
		t.Error(err)
	}
}
