package ramp

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/standin/upstreamstub"
)

var epoch = time.Unix(1_800_000_000, 0)

func upstream(slots int) *core.Upstream {
	return &core.Upstream{ID: "u", Slots: slots, Cold: core.ColdStart{Rate: 5, Warm: 4 * time.Second}}
}

func limiter(slots int) *Limiter {
	return New(upstream(slots), Options{BackOff: defaultBackOff, Growth: defaultGrowth})
}

// TestRampStaysUnderTheDeclaredCeiling starts attempts as fast as the limiter
// allows, with random failures, and checks every limit and start against the
// declared cold start.
func TestRampStaysUnderTheDeclaredCeiling(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 8).Draw(t, "slots")
		l := limiter(slots)
		l.Restarted(epoch)
		firstSuccess, lastStart := time.Time{}, epoch
		var ends []time.Time
		now := epoch
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "step")) * time.Millisecond)
			for len(ends) > 0 && !ends[0].After(now) {
				ends = ends[1:]
				if rapid.IntRange(0, 9).Draw(t, "fails") == 0 {
					l.Failed(now, core.UpstreamFailed)
					continue
				}
				if firstSuccess.IsZero() {
					firstSuccess = now
				}
				l.Succeeded(now, 20*time.Millisecond)
			}
			limit, next := l.Limit(now)
			line := 0.0
			if !firstSuccess.IsZero() {
				line = now.Sub(firstSuccess).Seconds() / 4
			}
			if most := max(1, int(line*float64(slots))); limit > most && line < 1 {
				t.Fatalf("limit %d, the declared cold start allows %d", limit, most)
			}
			if len(ends) >= limit || next.After(now) {
				continue
			}
			if gap := now.Sub(lastStart); firstSuccess.IsZero() && gap < 200*time.Millisecond {
				t.Fatalf("started after %v at a rate of 5 a second", gap)
			}
			l.Started(now)
			lastStart = now
			ends = append(ends, now.Add(20*time.Millisecond))
		}
	})
}

func TestRampReachesWarm(t *testing.T) {
	cases := []struct {
		name     string
		failures int // number of attempts that fail at the beginning
		within   time.Duration
	}{
		{"without failures", 0, 4400 * time.Millisecond},
		{"after 3 failures", 3, 5 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l := limiter(2)
			l.Restarted(epoch)
			now := epoch
			for failures := c.failures; l.Cold(now); {
				if _, next := l.Limit(now); next.After(now) {
					now = next
				}
				l.Started(now)
				now = now.Add(20 * time.Millisecond)
				if failures > 0 {
					failures--
					l.Failed(now, core.UpstreamLost)
					continue
				}
				l.Succeeded(now, 20*time.Millisecond)
			}
			if took := now.Sub(epoch); took > c.within {
				t.Errorf("warm after %v, want at most %v", took, c.within)
			}
		})
	}
}

// TestStartsAreSpacedFromTheArrival delays an attempt on its way to the upstream.
// The next one must still arrive no sooner than the rate allows.
func TestStartsAreSpacedFromTheArrival(t *testing.T) {
	for name, end := range map[string]func(*Limiter, time.Time){
		"success":   func(l *Limiter, now time.Time) { l.Succeeded(now, 180*time.Millisecond) },
		"failure":   func(l *Limiter, now time.Time) { l.Failed(now, core.UpstreamFailed) },
		"cancelled": func(l *Limiter, now time.Time) { l.Failed(now, core.Cancelled) },
	} {
		t.Run(name, func(t *testing.T) {
			l := limiter(2)
			l.Restarted(epoch)
			l.Started(epoch)
			now := epoch.Add(180 * time.Millisecond)
			end(l, now)
			if _, next := l.Limit(now); next.Sub(now) < 200*time.Millisecond {
				t.Errorf("the next may start %v after the last one ended", next.Sub(now))
			}
		})
	}
}

func TestWarmLimitBacksOffOnShed(t *testing.T) {
	l := limiter(3)
	for _, want := range []int{2, 1, 1} {
		l.Failed(epoch, core.UpstreamShed)
		if got, _ := l.Limit(epoch); got != want {
			t.Errorf("limit %d after a shed, want %d", got, want)
		}
	}
	if got, _ := l.Limit(epoch.Add(defaultBackOff)); got != 3 {
		t.Errorf("limit %d after the back-off, want 3", got)
	}
}

func TestParameters(t *testing.T) {
	cases := []struct {
		parameters map[string]string
		valid      bool
	}{
		{nil, true},
		{map[string]string{"back_off": "50ms", "growth": "4"}, true},
		{map[string]string{"back_off": "50"}, false},
		{map[string]string{"growth": "0.5"}, false},
		{map[string]string{"speed": "1"}, false},
	}
	for _, c := range cases {
		_, err := core.Limiters.New(Name, core.PolicyOptions{Parameters: c.parameters})
		if (err == nil) != c.valid {
			t.Errorf("%v: error %v, want valid %v", c.parameters, err, c.valid)
		}
	}
}

// The capacity of an upstream with varying service times follows from their mean.
// The limiter observes only a few of them, and a run of short ones must not raise
// its rate above that capacity.
func TestVaryingServiceTimesDoNotOverload(t *testing.T) {
	const shortest, variable = 2 * time.Millisecond, 3 * time.Millisecond
	cold := upstreamstub.ColdStart{Rate: 20, Warm: 2 * time.Second}
	full := 2 / (shortest + variable).Seconds()
	random := rand.New(rand.NewPCG(1, 2))
	for restart := range 500 {
		budget := upstreamstub.NewColdBudget(cold, 2, full)
		l := New(&core.Upstream{Slots: 2, Cold: core.ColdStart{Rate: cold.Rate, Warm: cold.Warm}}, Options{Growth: defaultGrowth})
		now := epoch
		budget.Restart(now)
		l.Restarted(now)
		for attempt := 0; l.Cold(now); attempt++ {
			if _, next := l.Limit(now); next.After(now) {
				now = next
			}
			l.Started(now)
			if !budget.Allow(now, 0) {
				t.Fatalf("restart %d: overloaded at attempt %d, warm-up level %.2f, mean %v", restart, attempt, l.warmup, l.mean)
			}
			took := shortest + time.Duration(random.ExpFloat64()*float64(variable))
			now = now.Add(took)
			l.Succeeded(now, took)
		}
	}
}
