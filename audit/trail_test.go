package audit

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/rs/zerolog"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/platform"
	"github.com/samphirebeam/samphirebeam/platform/platformfake"
	"github.com/samphirebeam/samphirebeam/resource"
)

var start = time.Unix(1_700_000_000, 0)

func newTrail(store platform.Store) *Trail {
	return New(Config{Store: store, Log: zerolog.Nop(), Now: func() time.Time { return start }})
}

// change applies one more change and records it on the trail, like the resource
// API.
func change(t *testing.T, trail *Trail, d *resource.Document) (*resource.Document, error) {
	t.Helper()
	state := []resource.State{resource.StateIn, resource.StateOut}[d.Generation%2]
	next, err := resource.Apply(d, resource.Request{
		Operation: fmt.Sprint("op", d.Generation+1),
		Operator:  "ops",
		Time:      start,
		Edits: []resource.Edit{{Object: resource.Object{
			Kind: resource.FailureDomain, Name: "d1", Spec: &resource.FailureDomainSpec{State: state},
		}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := trail.ArchiveBeforeDrop(t.Context(), d, next); err != nil {
		return d, err
	}
	trail.Accepted(next, next.Operation(fmt.Sprint("op", next.Generation)))
	return next, nil
}

// TestAcceptedTrailIsComplete accepts changes on several hosts in turn, also with
// lost replies; the trail must hold every generation exactly once.
func TestAcceptedTrailIsComplete(t *testing.T) {
	const generations = 3*resource.MaxChanges + 7
	tests := []struct {
		name string
		// before runs before each change; flush calls Flush after each change.
		before func(f *platformfake.Fake, i int)
		flush  bool
	}{
		{"no fault", nil, true},
		{"never flushed", nil, false},
		{"replies lost", func(f *platformfake.Fake, i int) {
			f.SetFaults(platformfake.Faults{LoseReplies: i % 2})
		}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			fake := platformfake.New()
			trails := []*Trail{newTrail(fake), newTrail(fake), newTrail(fake)}
			d := &resource.Document{}
			for i := range generations {
				if tt.before != nil {
					tt.before(fake, i)
				}
				trail := trails[i%len(trails)]
				next, err := change(t, trail, d)
				if err != nil {
					t.Fatal(err)
				}
				d = next
				if tt.flush {
					_ = trail.Flush(t.Context())
				}
			}
			checkComplete(t, newTrail(fake), d)
		})
	}
}

func checkComplete(t *testing.T, trail *Trail, d *resource.Document) {
	t.Helper()
	page, err := trail.Read(t.Context(), d, Filter{})
	if err != nil {
		t.Fatal(err)
	}
	if len(page.Entries) != int(d.Generation) {
		t.Fatalf("got %d entries of %d generations", len(page.Entries), d.Generation)
	}
	for i, e := range page.Entries {
		want := d.Generation - uint64(i)
		if e.Generation != want || e.Operation != fmt.Sprint("op", want) || e.Result != Accepted || e.Objects[0].To != want || e.Objects[0].From != want-1 {
			t.Fatalf("entry %d: got %+v", i, e)
		}
	}
}

// TestNoAcceptedChangeIsLostInAnOutage checks that, while no page can be written,
// the first change that would drop an older one from the document fails.
func TestNoAcceptedChangeIsLostInAnOutage(t *testing.T) {
	fake := platformfake.New()
	trail := newTrail(fake)
	d := &resource.Document{}
	fake.SetFaults(platformfake.Faults{Down: true})
	for range resource.MaxChanges {
		next, err := change(t, trail, d)
		if err != nil {
			t.Fatal(err)
		}
		d = next
	}
	if _, err := change(t, trail, d); platform.KindOf(err) != core.PlatformUnavailable {
		t.Fatalf("got %v", err)
	}
	fake.SetFaults(platformfake.Faults{})
	next, err := change(t, trail, d)
	if err != nil {
		t.Fatal(err)
	}
	checkComplete(t, newTrail(fake), next)
}

func refuse(trail *Trail, n int) {
	for i := range n {
		trail.Refused(Entry{Operator: "ops", Operation: fmt.Sprint("r", i), Kind: "InvalidRequest"})
	}
}

func TestRefusedTrail(t *testing.T) {
	tests := []struct {
		name             string
		run              func(t *testing.T, f *platformfake.Fake, a, b *Trail)
		entries, dropped int
	}{
		{"two hosts", func(t *testing.T, _ *platformfake.Fake, a, b *Trail) {
			refuse(a, 3)
			refuse(b, 2)
			flushAll(t, a, b)
		}, 5, 0},
		{"concurrent write by another host", func(t *testing.T, f *platformfake.Fake, _, b *Trail) {
			slow := newTrail(&interleavedStore{Store: f, before: func() { flushAll(t, b) }})
			refuse(b, 2)
			refuse(slow, 3)
			flushAll(t, slow)
		}, 5, 0},
		{"not yet written", func(_ *testing.T, _ *platformfake.Fake, a, _ *Trail) { refuse(a, 3) }, 3, 0},
		{"outage", func(t *testing.T, f *platformfake.Fake, a, _ *Trail) {
			refuse(a, 3)
			f.SetFaults(platformfake.Faults{Down: true})
			if err := a.Flush(t.Context()); err == nil {
				t.Error("written in an outage")
			}
			f.SetFaults(platformfake.Faults{})
			flushAll(t, a, a)
		}, 3, 0},
		{"reply lost", func(t *testing.T, f *platformfake.Fake, a, b *Trail) {
			refuse(a, 3)
			f.SetFaults(platformfake.Faults{LoseReplies: 1})
			flushAll(t, a, a, b)
		}, 3, 0},
		{"too fast", func(t *testing.T, _ *platformfake.Fake, a, _ *Trail) {
			refuse(a, MaxPending+9)
			flushAll(t, a)
		}, MaxPending, 9},
		{"page full", func(t *testing.T, _ *platformfake.Fake, a, _ *Trail) {
			long := resource.Refusal{Reason: strings.Repeat("x", 10*maxTextBytes)}
			for range 8 {
				for range MaxPending {
					a.Refused(Entry{Errors: []resource.Refusal{long, long, long, long, long, long, long, long, long}})
				}
				flushAll(t, a)
			}
		}, 370, 8*MaxPending - 370},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			fake := platformfake.New()
			a, b := newTrail(fake), newTrail(fake)
			tt.run(t, fake, a, b)
			page, err := a.Read(t.Context(), &resource.Document{}, Filter{})
			if err != nil || len(page.Entries) != tt.entries || page.Dropped != tt.dropped {
				t.Errorf("got %d entries and %d dropped, %v; want %d and %d", len(page.Entries), page.Dropped, err, tt.entries, tt.dropped)
			}
		})
	}
}

// interleavedStore lets another host write between a read and the first write.
type interleavedStore struct {
	platform.Store
	before func()
}

func (o *interleavedStore) Put(ctx context.Context, key string, value []byte, version uint64) (uint64, error) {
	if before := o.before; before != nil {
		o.before = nil
		before()
	}
	return o.Store.Put(ctx, key, value, version)
}

func flushAll(t *testing.T, trails ...*Trail) {
	t.Helper()
	for _, trail := range trails {
		if err := trail.Flush(t.Context()); err != nil {
			t.Error(err)
		}
	}
}

// TestRunWritesAtTheEnd stops a host right after a refusal; Run must still write
// the entry. Only a trail with the real clock finds it, since the page key depends
// on the time of the entry.
func TestRunWritesAtTheEnd(t *testing.T) {
	fake := platformfake.New()
	trail := New(Config{Store: fake, Log: zerolog.Nop(), FlushEvery: time.Hour})
	ctx, cancel := context.WithCancel(t.Context())
	refuse(trail, 1)
	cancel()
	trail.Run(ctx)
	page, err := newTrail(fake).Read(t.Context(), &resource.Document{}, Filter{})
	now, _ := New(Config{Store: fake}).Read(t.Context(), &resource.Document{}, Filter{Since: time.Now().Add(-time.Hour)})
	if err != nil || len(page.Entries) != 0 || len(now.Entries) != 1 {
		t.Errorf("got %v and %v, %v", page, now, err)
	}
}

// lockedBuffer is a log buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

func TestEntriesReachTheLog(t *testing.T) {
	bus := NewBus()
	defer func() { _ = bus.Close() }()
	var log lockedBuffer
	if err := LogTo(t.Context(), bus, zerolog.New(&log)); err != nil {
		t.Fatal(err)
	}
	trail := New(Config{Store: platformfake.New(), Publisher: bus, Log: zerolog.Nop()})
	if _, err := change(t, trail, &resource.Document{}); err != nil {
		t.Fatal(err)
	}
	refuse(trail, 1)
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		text := log.String()
		if strings.Contains(text, `"topic":"configuration.accepted"`) && strings.Contains(text, `"topic":"configuration.refused"`) {
			return
		}
	}
	t.Errorf("an entry is missing in the log: %s", log.String())
}

// BenchmarkBus measures the cost of one message from Publish to Ack.
func BenchmarkBus(b *testing.B) {
	bus := NewBus()
	defer func() { _ = bus.Close() }()
	messages, err := bus.Subscribe(b.Context(), TopicAccepted)
	if err != nil {
		b.Fatal(err)
	}
	go func() {
		for m := range messages {
			m.Ack()
		}
	}()
	payload := []byte(`{"operation":"x"}`)
	b.ReportAllocs()
	for b.Loop() {
		if err := bus.Publish(TopicAccepted, message.NewMessage("id", payload)); err != nil {
			b.Fatal(err)
		}
	}
}
