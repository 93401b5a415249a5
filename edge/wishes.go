package edge

import (
	"sync"
	"time"

	"github.com/samphirebeam/samphirebeam/core/scatter"
)

// wishes is the last check before a request goes to an upstream. It covers all
// sends of this host, those that it relays for others included, which the host
// that decided could not know of.
type wishes struct {
	mu      *sync.Mutex
	notices *scatter.Notices
}

func newWishes() wishes { return wishes{&sync.Mutex{}, scatter.NewNotices()} }

// of returns what an upstream has asked of this host.
func (w wishes) of(target scatter.Upstream) scatter.Notice {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.notices.Of(time.Now(), target)
}

func (w wishes) take(from scatter.Upstream, notice scatter.Notice) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.notices.Take(time.Now(), from, notice)
}
