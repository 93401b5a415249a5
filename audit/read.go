package audit

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/samphirebeam/samphirebeam/resource"
)

const (
	// MaxEntries is the maximum number of entries that one Read returns.
	MaxEntries = 10_000
	// MaxAge is how far back Read goes. It takes at most 29 platform calls for
	// the refused changes of that time.
	MaxAge = 7 * 24 * time.Hour
)

// Filter selects the entries to read.
type Filter struct {
	// Limit is the maximum number of entries, up to MaxEntries; 0 means
	// MaxEntries.
	Limit int
	// Since is the time of the oldest entries. A time before MaxAge ago, such as
	// the zero time, means MaxAge ago.
	Since time.Time
}

// Page is a part of the trail, newest entries first.
type Page struct {
	Entries []Entry `json:"entries"`
	// Dropped counts refused changes within the time that were not stored.
	Dropped int `json:"dropped"`
}

// Read returns the newest entries that the filter selects; d must be the newest
// document.
func (t *Trail) Read(ctx context.Context, d *resource.Document, f Filter) (Page, error) {
	oldest := t.config.Now().Add(-MaxAge)
	if f.Since.Before(oldest) {
		f.Since = oldest
	}
	if f.Limit <= 0 || f.Limit > MaxEntries {
		f.Limit = MaxEntries
	}
	accepted, err := t.readAccepted(ctx, d, f)
	if err != nil {
		return Page{}, err
	}
	page, err := t.readRefused(ctx, f)
	if err != nil {
		return Page{}, err
	}
	page.Entries = append(page.Entries, accepted...)
	page.Entries = slices.DeleteFunc(page.Entries, func(e Entry) bool { return e.UnixMilli < f.Since.UnixMilli() })
	slices.SortStableFunc(page.Entries, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(b.UnixMilli, a.UnixMilli), cmp.Compare(b.Generation, a.Generation))
	})
	page.Entries = page.Entries[:min(len(page.Entries), f.Limit)]
	return page, nil
}

// readAccepted returns accepted changes, newest first: those in the document and
// then those on the pages, backwards in time.
func (t *Trail) readAccepted(ctx context.Context, d *resource.Document, f Filter) ([]Entry, error) {
	var entries []Entry
	oldest := d.Generation + 1
	changes := d.Changes
	for {
		for i := len(changes) - 1; i >= 0; i-- {
			if changes[i].Generation < oldest {
				oldest = changes[i].Generation
				entries = append(entries, acceptedEntry(&changes[i]))
			}
		}
		if oldest <= 1 || len(entries) >= f.Limit || len(entries) > 0 && entries[len(entries)-1].UnixMilli < f.Since.UnixMilli() {
			return entries, nil
		}
		var page acceptedPage
		version, err := readPage(ctx, t.config.Store, acceptedKey(pageOf(oldest-1)), &page)
		if err != nil || version == 0 {
			return entries, err
		}
		changes = page.Changes
		if len(changes) == 0 || changes[0].Generation >= oldest {
			return entries, nil
		}
	}
}

// readRefused returns the refused changes that are not written yet and those on
// the pages, backwards in time.
func (t *Trail) readRefused(ctx context.Context, f Filter) (Page, error) {
	var all Page
	t.mu.Lock()
	all.Entries = slices.Clone(t.pending)
	all.Dropped = t.dropped
	t.mu.Unlock()
	for at := t.config.Now(); at.After(f.Since.Add(-refusedPagePeriod)) && len(all.Entries) < f.Limit; at = at.Add(-refusedPagePeriod) {
		var page refusedPage
		if _, err := readPage(ctx, t.config.Store, refusedKey(at), &page); err != nil {
			return Page{}, err
		}
		all.Entries = append(all.Entries, page.Entries...)
		all.Dropped += page.Dropped
	}
	return all, nil
}
