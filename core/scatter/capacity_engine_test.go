package scatter_test

import (
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core/scatter"
)

// TestLearnedCapacityServesLoadFromTheStart guards against windows that grow so slowly
// that a host which starts under load refuses what its upstream can serve.
func TestLearnedCapacityServesLoadFromTheStart(t *testing.T) {
	r := newRig(t)
	r.options.LearnCapacity = true
	r.engine = scatter.New(r.options)
	r.step(scatter.HostsSeen{Hosts: []scatter.Host{{ID: "host-1", Domain: "d1", Cores: 1}}})
	r.configure(1, 1)
	r.step(scatter.UpstreamRemoved{ID: "files-b"})
	running := 0
	r.serve = func(scatter.Send) (after time.Duration, outcome scatter.Outcome) {
		if running >= 4 {
			return ms, scatter.NotExecuted
		}
		running++
		r.later.Add(r.now.Add(20*ms), func() { running-- })
		return 20 * ms, scatter.Succeeded
	}
	for range 1000 {
		r.ask(fetchPath)
		r.run(5 * ms)
	}
	refused := 0
	for _, a := range r.answers {
		if a.Kind != scatter.PassedOn {
			refused++
		}
	}
	if refused > 50 {
		t.Errorf("%d of %d requests refused", refused, len(r.answers))
	}
}
