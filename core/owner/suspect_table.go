package owner

import (
	"bytes"
	"cmp"
	"encoding/hex"
	"slices"
	"strconv"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// suspect is the entry of a fingerprint that was in flight on an upstream when
// that upstream was lost.
type suspect struct {
	// losses counts the losses per upstream. Only the upstream's owner
	// increments its count.
	losses    map[core.UpstreamID]uint32
	expiresAt time.Time
	announced bool
}

func (s *suspect) total() int {
	total := 0
	for _, count := range s.losses {
		total += int(count)
	}
	return total
}

func (s *suspect) message(now time.Time, fingerprint core.Fingerprint, up core.UpstreamID) *peerpb.Suspect {
	return &peerpb.Suspect{
		Fingerprint:  fingerprint[:],
		Upstream:     string(up),
		Losses:       s.losses[up],
		QuarantineUs: s.expiresAt.Sub(now).Microseconds(),
	}
}

// suspectTable is a bounded table of suspect and quarantined fingerprints.
type suspectTable struct {
	byFingerprint map[core.Fingerprint]*suspect
	limit         int
	ttl           time.Duration
}

func newSuspectTable(limit int, ttl time.Duration) suspectTable {
	return suspectTable{byFingerprint: map[core.Fingerprint]*suspect{}, limit: limit, ttl: ttl}
}

// get returns the unexpired entry of a fingerprint, or nil.
func (t *suspectTable) get(now time.Time, fingerprint core.Fingerprint) *suspect {
	if len(t.byFingerprint) == 0 {
		return nil
	}
	entry := t.byFingerprint[fingerprint]
	if entry == nil || !now.Before(entry.expiresAt) {
		return nil
	}
	return entry
}

// messages returns all unexpired losses, sorted by fingerprint and upstream.
func (t *suspectTable) messages(now time.Time) []*peerpb.Suspect {
	var all []*peerpb.Suspect
	for fingerprint := range t.byFingerprint {
		entry := t.get(now, fingerprint)
		if entry == nil {
			continue
		}
		for up := range entry.losses {
			all = append(all, entry.message(now, fingerprint, up))
		}
	}
	slices.SortFunc(all, func(a, b *peerpb.Suspect) int {
		return cmp.Or(bytes.Compare(a.Fingerprint, b.Fingerprint), cmp.Compare(a.Upstream, b.Upstream))
	})
	return all
}

func (t *suspectTable) contains(now time.Time, fingerprint core.Fingerprint) bool {
	return t.get(now, fingerprint) != nil
}

// add returns the entry of a fingerprint, created if absent, with a renewed
// expiry.
func (t *suspectTable) add(now time.Time, fingerprint core.Fingerprint) *suspect {
	entry := t.get(now, fingerprint)
	if entry == nil {
		t.evictIfFull()
		entry = &suspect{losses: map[core.UpstreamID]uint32{}}
		t.byFingerprint[fingerprint] = entry
	}
	entry.expiresAt = now.Add(t.ttl)
	return entry
}

// evictIfFull drops the entry that expires first if the table is full.
func (t *suspectTable) evictIfFull() {
	if len(t.byFingerprint) < t.limit {
		return
	}
	var first core.Fingerprint
	var end time.Time
	for fingerprint, entry := range t.byFingerprint {
		sooner := end.IsZero() || entry.expiresAt.Before(end)
		tie := entry.expiresAt.Equal(end) && string(fingerprint[:]) < string(first[:])
		if sooner || tie {
			first, end = fingerprint, entry.expiresAt
		}
	}
	delete(t.byFingerprint, first)
}

func (t *suspectTable) remove(fingerprint core.Fingerprint) { delete(t.byFingerprint, fingerprint) }

func (t *suspectTable) expire(now time.Time) {
	for fingerprint, entry := range t.byFingerprint {
		if !now.Before(entry.expiresAt) {
			delete(t.byFingerprint, fingerprint)
		}
	}
}

// merge applies another owner's message and reports whether it changed the
// table. A message without an upstream announces a success of the fingerprint,
// which clears it.
func (t *suspectTable) merge(now time.Time, fingerprint core.Fingerprint, m *peerpb.Suspect) bool {
	entry := t.get(now, fingerprint)
	up := core.UpstreamID(m.Upstream)
	if m.Losses == 0 {
		return t.mergeCleared(entry, fingerprint, up)
	}
	if entry != nil && entry.losses[up] == m.Losses {
		return false
	}
	entry = t.add(now, fingerprint)
	entry.losses[up] = m.Losses
	keepFor := time.Duration(m.QuarantineUs) * time.Microsecond
	entry.expiresAt = now.Add(min(max(keepFor, 0), t.ttl))
	return true
}

func (t *suspectTable) mergeCleared(entry *suspect, fingerprint core.Fingerprint, up core.UpstreamID) bool {
	if entry == nil || (up == "" && entry.total() >= quarantineThreshold) {
		return false
	}
	delete(entry.losses, up)
	if up == "" || len(entry.losses) == 0 {
		t.remove(fingerprint)
	}
	return true
}

// retryAfter returns the remaining time of a quarantine, or minRetryAfter for a
// fingerprint that is not quarantined.
func (t *suspectTable) retryAfter(now time.Time, fingerprint core.Fingerprint) time.Duration {
	entry := t.get(now, fingerprint)
	if entry == nil || entry.total() < quarantineThreshold {
		return minRetryAfter
	}
	return entry.expiresAt.Sub(now)
}

func quarantineRecord(fingerprint core.Fingerprint, entry *suspect) core.Record {
	return core.Record{Topic: "quarantine", Fields: map[string]string{
		"fingerprint": hex.EncodeToString(fingerprint[:]),
		"losses":      strconv.Itoa(entry.total()),
	}}
}
