package scatter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/scatter"
)

// noticeFrom adds a notice to each answer of the given upstreams.
func noticeFrom(notice scatter.Notice, ids ...core.UpstreamID) func(scatter.Send) scatter.Notice {
	return func(s scatter.Send) scatter.Notice {
		for _, id := range ids {
			if s.Target.ID == id {
				return notice
			}
		}
		return scatter.Notice{}
	}
}

// TestNoSendsToLeavingUpstream: the notice applies to that start of the upstream,
// whatever later registry entries contain, and not to its next start.
func TestNoSendsToLeavingUpstream(t *testing.T) {
	r := newRig(t)
	r.configure(1, 4)
	r.notice = noticeFrom(scatter.Notice{Leaving: true}, "files-a")
	for r.sentTo("files-a") == 0 {
		r.ask(fetchPath)
		r.run(20 * ms)
	}
	entry := pair("files")[0]
	for _, event := range []scatter.Event{
		scatter.Tick{},
		scatter.UpstreamSeen{Upstream: entry}, // an older entry
		scatter.UpstreamRemoved{ID: entry.ID},
		scatter.UpstreamSeen{Upstream: entry}, // the entry had only expired
	} {
		before := r.sentTo("files-a")
		r.step(event)
		for range 20 {
			r.ask(fetchPath)
			r.run(20 * ms)
		}
		if after := r.sentTo("files-a"); after != before {
			t.Errorf("%T: %d requests were sent to the leaving upstream", event, after-before)
		}
	}
	r.notice = nil
	entry.Started++
	r.step(scatter.UpstreamSeen{Upstream: entry})
	before := r.sentTo("files-a")
	for range 20 {
		r.ask(fetchPath)
		r.run(20 * ms)
	}
	if r.sentTo("files-a") == before {
		t.Error("no request was sent to the next start of the upstream")
	}
}

// TestWaitingPartsAvoidLeavingUpstream: requests that wait for an upstream when
// it announces that it is leaving are sent to another one, and a request hedged
// there is answered.
func TestWaitingPartsAvoidLeavingUpstream(t *testing.T) {
	r := newRig(t)
	r.configure(1, 4)
	r.serve = func(s scatter.Send) (time.Duration, scatter.Outcome) {
		if s.Target.ID == "files-a" {
			return 60 * ms, scatter.Succeeded
		}
		return 5 * ms, scatter.Succeeded
	}
	r.notice = noticeFrom(scatter.Notice{Leaving: true}, "files-a")
	var calls []core.CallID
	for range 30 { // more than both upstreams run concurrently
		calls = append(calls, r.ask(fetchPath))
	}
	r.run(59 * ms)
	before := r.sentTo("files-a")
	r.run(time.Second)
	if after := r.sentTo("files-a"); before == 0 || after != before {
		t.Errorf("%d requests before the notice, %d after", before, after-before)
	}
	for _, call := range calls {
		r.want(call, scatter.PassedOn)
	}
}

// TestNoSendsDuringRequestedBackoff: while one upstream rejects requests and asks
// for a backoff, bursts are answered by the other one.
func TestNoSendsDuringRequestedBackoff(t *testing.T) {
	r := newRig(t)
	r.configure(1, 4)
	r.serve = func(s scatter.Send) (time.Duration, scatter.Outcome) {
		if s.Target.ID == "files-a" {
			return 5 * ms, scatter.NotExecuted
		}
		return 5 * ms, scatter.Succeeded
	}
	r.notice = noticeFrom(scatter.Notice{RetryAfter: 700 * ms}, "files-a")
	for r.sentTo("files-a") == 0 {
		r.ask(fetchPath)
		r.run(10 * ms)
	}
	rejectedAt := r.now
	for range 6 { // bursts of more than the other one runs concurrently
		var burst []core.CallID
		for range 12 {
			burst = append(burst, r.ask(fetchPath))
		}
		r.run(100 * ms)
		for _, call := range burst {
			r.want(call, scatter.PassedOn)
		}
	}
	if got := r.sentTo("files-a"); got != 1 {
		t.Errorf("%d requests were sent to it by the end of the backoff, want 1", got)
	}
	r.notice, r.serve = nil, nil
	r.run(rejectedAt.Add(710 * ms).Sub(r.now))
	for range 20 { // more than the other one runs concurrently
		r.ask(fetchPath)
	}
	r.run(100 * ms)
	if r.sentTo("files-a") == 1 {
		t.Error("no request was sent to it after the backoff")
	}
}

func (r *rig) askAndRun(path string, d time.Duration) {
	r.ask(path)
	r.run(d)
}

// TestAllUpstreamsRequestBackoff: the request is refused at once with a time to
// retry, or answered without the part.
func TestAllUpstreamsRequestBackoff(t *testing.T) {
	rejectWithBackoff := func(r *rig, ids ...core.UpstreamID) {
		r.serve = func(s scatter.Send) (time.Duration, scatter.Outcome) {
			if noticeFrom(scatter.Notice{Leaving: true}, ids...)(s).Leaving {
				return 2 * ms, scatter.NotExecuted
			}
			return 2 * ms, scatter.Succeeded
		}
		r.notice = noticeFrom(scatter.Notice{RetryAfter: 300 * ms}, ids...)
	}
	t.Run("one service", func(t *testing.T) {
		r := newRig(t)
		r.configure(1, 4)
		rejectWithBackoff(r, "files-a", "files-b")
		r.askAndRun(fetchPath, 20*ms)
		call := r.ask(fetchPath)
		answer := r.want(call, scatter.Refused)
		if r.answered[call] != r.now || answer.RetryAfter < 200*ms || answer.RetryAfter > 300*ms {
			t.Errorf("refused after %v, to come back after %v", r.answered[call].Sub(r.now), answer.RetryAfter)
		}
	})
	t.Run("one shard of four", func(t *testing.T) {
		r := newRig(t)
		r.configure(1, 4)
		rejectWithBackoff(r, "shard00-a", "shard00-b")
		r.askAndRun(gatherPath, 20*ms)
		call := r.ask(gatherPath)
		r.run(10 * ms)
		if answer := r.want(call, scatter.Gathered); answer.Missing != 1 {
			t.Errorf("%d parts are missing", answer.Missing)
		}
	})
	t.Run("too many shards, but not for long", func(t *testing.T) {
		r := newRig(t)
		r.configure(1, 4)
		rejectWithBackoff(r, "shard00-a", "shard00-b", "shard01-a", "shard01-b")
		r.askAndRun(gatherPath, 20*ms)
		call := r.ask(gatherPath)
		r.notice, r.serve = nil, nil
		r.run(320 * ms)
		r.want(call, scatter.Gathered)
	})
}

// TestNoticesAreBounded covers the number of notices and invalid or excessive
// backoffs.
func TestNoticesAreBounded(t *testing.T) {
	n := scatter.NewNotices()
	of := func(i int) scatter.Upstream { return scatter.Upstream{ID: core.UpstreamID(fmt.Sprint("u-", i))} }
	for i := range 20_000 {
		n.Record(epoch.Add(time.Duration(i)), time.Time{}, of(i), scatter.Notice{Leaving: true})
	}
	if n.Lookup(epoch, of(0)).Leaving || !n.Lookup(epoch, of(19_999)).Leaving {
		t.Error("the newest notices are not the ones that are kept")
	}
	n.Record(epoch, time.Time{}, of(1), scatter.Notice{RetryAfter: 240 * time.Hour})
	if got := n.Lookup(epoch.Add(10*time.Minute), of(1)); got.Forbids() {
		t.Errorf("backoff of %v after ten minutes", got.RetryAfter)
	}
	if n.Record(epoch, time.Time{}, of(2), scatter.Notice{RetryAfter: -time.Second}) {
		t.Error("a negative backoff is recorded")
	}
}
