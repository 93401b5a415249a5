package edge

import (
	"sync"
	"time"

	"github.com/samphirebeam/samphirebeam/core/scatter"
)

// noticeStore holds the notices that upstreams sent to this host. The sender
// checks it before each request. It also covers the sends that this host relays
// for others: the host that decided on them has not seen these notices.
type noticeStore struct {
	mu      *sync.Mutex
	notices *scatter.Notices
}

func newNoticeStore() noticeStore { return noticeStore{&sync.Mutex{}, scatter.NewNotices()} }

// get returns the notices of an upstream that are in force.
func (s noticeStore) get(target scatter.Upstream) scatter.Notice {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.notices.Lookup(time.Now(), target)
}

// limitSince returns the limit that an upstream has stated to this host after the
// given time.
func (s noticeStore) limitSince(target scatter.Upstream, since time.Time) scatter.RateLimit {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.notices.LimitSince(target, since)
}

// record stores a notice that arrived with the answer to a request sent at sentAt.
func (s noticeStore) record(sentAt time.Time, from scatter.Upstream, notice scatter.Notice) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notices.Record(time.Now(), sentAt, from, notice)
}
