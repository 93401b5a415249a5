package edge

import (
	"sync"
	"time"

	"github.com/samphirebeam/samphirebeam/core/scatter"
)

// guard is the last check before a request goes to an upstream. It covers all
// sends of this host, those that it relays for others included, for which the
// host that decided could not know what upstreams told this one.
type noticeStore struct {
	mu      *sync.Mutex
	notices *scatter.Notices
}

func newNoticeStore() noticeStore { return noticeStore{&sync.Mutex{}, scatter.NewNotices()} }

// of returns what an upstream has told this host.
func (g noticeStore) get(target scatter.Upstream) scatter.Notice {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.notices.Of(time.Now(), target)
}

func (g noticeStore) record(from scatter.Upstream, notice scatter.Notice) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.notices.Take(time.Now(), from, notice)
}
