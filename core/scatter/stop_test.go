package scatter_test

import (
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core/scatter"
)

// TestStoppingHostAnswersEverything: while a host stops, a request that is expected to
// outlast it is refused and does not run, any other is answered by its end.
func TestStoppingHostAnswersEverything(t *testing.T) {
	const left = time.Second
	for _, path := range []string{gatherPath, fetchPath, orderPath} {
		for _, usual := range []time.Duration{5 * ms, 300 * ms} {
			r := newRig(t)
			r.configure(1, 10)
			for range 200 { // learns the usual latency
				r.serve = func(scatter.Send) (time.Duration, scatter.Outcome) { return usual, scatter.Succeeded }
				r.ask(path)
				r.run(400 * ms)
			}
			r.serve = func(s scatter.Send) (time.Duration, scatter.Outcome) { return time.Hour, scatter.Lost }
			open := r.arrive(scatter.RequestArrived{Path: path, Budget: time.Hour})
			r.step(scatter.Stopping{Until: r.now.Add(left)})
			r.run(left / 2)
			r.sends = nil
			late := r.arrive(scatter.RequestArrived{Path: path, Budget: time.Hour})
			_, refused := r.answers[late]
			if outlasts := usual > left/10; refused != outlasts || refused == (len(r.sends) > 0) {
				t.Errorf("%s, usually %v: refused %v, %d sends, %v before the end", path, usual, refused, len(r.sends), left/2)
			}
			r.run(left / 2)
			r.want(open, scatter.TimedOut)
			if !refused {
				r.want(late, scatter.TimedOut)
			}
		}
	}
}
