package audit

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/samphirebeam/samphirebeam/platform"
	"github.com/samphirebeam/samphirebeam/resource"
)

const (
	// DefaultFlushEvery is the default interval between writes.
	DefaultFlushEvery = 5 * time.Second
	// MaxPending bounds the refused changes that wait to be written; further ones
	// are only counted.
	MaxPending = 256

	// flushTimeout bounds the final write when the host stops.
	flushTimeout = 2 * time.Second
)

// Config configures a Trail.
type Config struct {
	Store platform.Store
	// Publisher is the event bus; if nil, nothing is published.
	Publisher message.Publisher
	Log       zerolog.Logger
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// FlushEvery is the interval between writes; 0 means DefaultFlushEvery.
	FlushEvery time.Duration
}

// Trail writes and reads the audit trail. It is safe for concurrent use.
type Trail struct {
	config Config

	mu      sync.Mutex
	pending []Entry
	dropped int
	// archived is the newest generation up to which all changes are known to be
	// on pages; toArchive is a document whose changes are to be copied there.
	archived  uint64
	toArchive *resource.Document
}

// New returns a Trail.
func New(config Config) *Trail {
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.FlushEvery <= 0 {
		config.FlushEvery = DefaultFlushEvery
	}
	return &Trail{config: config}
}

// Run calls Flush at each interval until the context ends, and once more after
// that.
func (t *Trail) Run(ctx context.Context) {
	ticker := time.NewTicker(t.config.FlushEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			t.flush(ctx)
		case <-ctx.Done():
			final, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushTimeout)
			defer cancel()
			t.flush(final)
			return
		}
	}
}

func (t *Trail) flush(ctx context.Context) {
	if err := t.Flush(ctx); err != nil {
		t.config.Log.Warn().Err(err).Msg("failed to write the audit trail, will retry")
	}
}

// Accepted publishes a change that is accepted into document d. It schedules d
// for archiving when the next generation belongs to a later page than the newest
// archived one.
func (t *Trail) Accepted(d *resource.Document, change *resource.Change) {
	t.publish(TopicAccepted, acceptedEntry(change))
	t.mu.Lock()
	defer t.mu.Unlock()
	if pageOf(d.Generation+1) > pageOf(t.archived) && (t.toArchive == nil || t.toArchive.Generation < d.Generation) {
		t.toArchive = d
	}
}

// Refused publishes a refused change and buffers it to be written. It sets the
// entry's ID, Result and UnixMilli.
func (t *Trail) Refused(e Entry) {
	e.ID = uuid.NewString()
	e.Result = Refused
	e.UnixMilli = t.config.Now().UnixMilli()
	e.truncate()
	t.publish(TopicRefused, e)
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.pending) >= MaxPending {
		t.dropped++
		return
	}
	t.pending = append(t.pending, e)
}

func (t *Trail) publish(topic string, e Entry) {
	if t.config.Publisher == nil {
		return
	}
	payload, err := json.Marshal(e)
	if err == nil {
		err = t.config.Publisher.Publish(topic, message.NewMessage(uuid.NewString(), payload))
	}
	if err != nil {
		t.config.Log.Error().Err(err).Str("topic", topic).Msg("failed to publish an audit entry")
	}
}

// Flush archives the scheduled document, if any, and writes the buffered refused
// changes. What could not be written is kept for the next Flush.
func (t *Trail) Flush(ctx context.Context) error {
	t.mu.Lock()
	pending, dropped, toArchive := t.pending, t.dropped, t.toArchive
	t.pending, t.dropped, t.toArchive = nil, 0, nil
	t.mu.Unlock()
	if toArchive != nil {
		if err := t.archive(ctx, toArchive); err != nil {
			t.requeue(pending, dropped, toArchive)
			return err
		}
	}
	if len(pending) == 0 {
		return nil
	}
	if err := t.writeRefused(ctx, pending, dropped); err != nil {
		t.requeue(pending, dropped, nil)
		return err
	}
	return nil
}

// requeue puts back what could not be written.
func (t *Trail) requeue(pending []Entry, dropped int, toArchive *resource.Document) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pending = append(pending, t.pending...)
	t.dropped += dropped
	if t.toArchive == nil {
		t.toArchive = toArchive
	}
}

func (t *Trail) writeRefused(ctx context.Context, entries []Entry, dropped int) error {
	key := refusedKey(time.UnixMilli(entries[0].UnixMilli))
	err := updatePage(ctx, t.config.Store, key, func(page *refusedPage) bool {
		present := map[string]bool{}
		size := 0
		for _, e := range page.Entries {
			present[e.ID] = true
			size += encodedSize(e)
		}
		before := len(page.Entries)
		omitted := dropped
		for _, e := range entries {
			if present[e.ID] {
				continue
			}
			if size += encodedSize(e); size > maxPageSize {
				omitted++
				continue
			}
			page.Entries = append(page.Entries, e)
		}
		changed := len(page.Entries) > before || omitted > 0 && !present[entries[0].ID]
		if changed {
			page.Dropped += omitted
		}
		return changed
	})
	return eris.Wrap(err, "refused changes")
}

func encodedSize(e Entry) int {
	encoded, _ := json.Marshal(e)
	return len(encoded) + 1
}

// ArchiveBeforeDrop ensures that the changes of d that the next document drops
// are on a page. If it fails, next must not be written: those changes would be
// lost.
func (t *Trail) ArchiveBeforeDrop(ctx context.Context, d, next *resource.Document) error {
	if len(d.Changes) == 0 || len(next.Changes) == 0 || d.Changes[0].Generation >= next.Changes[0].Generation {
		return nil
	}
	lastDropped := next.Changes[0].Generation - 1
	t.mu.Lock()
	archived := t.archived >= lastDropped
	t.mu.Unlock()
	if archived {
		return nil
	}
	return t.archive(ctx, d)
}

// archive copies the document's changes to their pages, except for pages that are
// known to be complete.
func (t *Trail) archive(ctx context.Context, d *resource.Document) error {
	byPage := map[uint64][]resource.Change{}
	for _, c := range d.Changes {
		byPage[pageOf(c.Generation)] = append(byPage[pageOf(c.Generation)], c)
	}
	t.mu.Lock()
	archived := t.archived
	t.mu.Unlock()
	for page, changes := range byPage {
		if changes[len(changes)-1].Generation <= archived {
			continue
		}
		err := updatePage(ctx, t.config.Store, acceptedKey(page), func(p *acceptedPage) bool { return p.merge(changes) })
		if err != nil {
			return eris.Wrap(err, "accepted changes")
		}
	}
	t.mu.Lock()
	t.archived = max(t.archived, d.Generation)
	t.mu.Unlock()
	return nil
}

// merge adds the changes that the page lacks, in order of generation. It returns
// false if there are none.
func (p *acceptedPage) merge(changes []resource.Change) bool {
	merged := make([]resource.Change, 0, pageGenerations)
	added := false
	old := p.Changes
	for _, c := range changes {
		for len(old) > 0 && old[0].Generation < c.Generation {
			merged, old = append(merged, old[0]), old[1:]
		}
		if len(old) > 0 && old[0].Generation == c.Generation {
			continue
		}
		merged = append(merged, c)
		added = true
	}
	merged = append(merged, old...)
	p.Changes = merged
	return added
}

func acceptedEntry(c *resource.Change) Entry {
	return Entry{
		ID:         strconv.FormatUint(c.Generation, 10),
		Result:     Accepted,
		UnixMilli:  c.UnixMilli,
		Operator:   c.Operator,
		Operation:  c.Operation,
		Generation: c.Generation,
		Override:   c.Override,
		Objects:    c.Objects,
	}
}
