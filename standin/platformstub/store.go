package platformstub

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/samphirebeam/samphirebeam/platform"
)

// store holds objects by kind and name under one revision counter, with the
// history of their changes.
type store struct {
	mu                sync.Mutex
	era               uint64 // begins at 1 and rises with each restore
	revision          uint64
	kinds             map[string]map[string]platform.StoredObject
	history           []historyEntry
	compactedRevision uint64 // changes up to this revision are no longer in the history
	// changed is closed and replaced at each change to wake the waiting watches.
	changed chan struct{}
}

// historyEntry is one change of one object.
type historyEntry struct {
	revision uint64
	at       time.Time
	kind     string
	change   platform.Change
}

func newStore() *store {
	return &store{era: 1, kinds: map[string]map[string]platform.StoredObject{}, changed: make(chan struct{})}
}

// list returns the objects of a kind whose names follow after, sorted by name,
// and the revision of the list. With a lag it returns the state of that long
// ago, but no older than the state at the time earliest.
func (s *store) list(kind, after string, lag time.Duration, earliest time.Time) ([]platform.StoredObject, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	objects := map[string]platform.StoredObject{}
	for name, o := range s.kinds[kind] {
		objects[name] = o
	}
	revision := s.revision
	if lag > 0 {
		asOf := time.Now().Add(-lag)
		if asOf.Before(earliest) {
			asOf = earliest
		}
		for i := len(s.history) - 1; i >= 0 && s.history[i].at.After(asOf); i-- {
			s.revert(objects, kind, i)
			revision = s.history[i].revision - 1
		}
	}
	var items []platform.StoredObject
	for name, o := range objects {
		if name > after {
			items = append(items, o)
		}
	}
	slices.SortFunc(items, func(a, b platform.StoredObject) int {
		if a.Meta.Name < b.Meta.Name {
			return -1
		}
		return 1
	})
	return items, revision
}

// revert undoes the change at an index of the history, if it is of the kind.
func (s *store) revert(objects map[string]platform.StoredObject, kind string, at int) {
	undone := s.history[at]
	if undone.kind != kind {
		return
	}
	name := undone.change.Object.Meta.Name
	delete(objects, name)
	for i := at - 1; i >= 0; i-- {
		earlier := s.history[i]
		if earlier.kind == kind && earlier.change.Object.Meta.Name == name {
			if !earlier.change.Removed {
				objects[name] = earlier.change.Object
			}
			return
		}
	}
}

func (s *store) get(kind, name string) (platform.StoredObject, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, found := s.kinds[kind][name]
	return o, found
}

// outcome is the result of a write.
type outcome int

const (
	written outcome = iota
	missing
	conflict
)

// put creates an object or replaces its spec. Writing an identical spec does not
// change the revision.
func (s *store) put(kind string, o platform.StoredObject, create bool) (platform.StoredObject, outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, found := s.kinds[kind][o.Meta.Name]
	switch {
	case create && found:
		return old, conflict
	case !create && !found:
		return old, missing
	case !create && o.Meta.Revision != 0 && o.Meta.Revision != old.Meta.Revision:
		return old, conflict
	case found && string(old.Spec) == string(o.Spec):
		return old, written
	}
	s.revision++
	o.Meta.Revision, o.Meta.Created = s.revision, old.Meta.Created
	if create {
		o.Meta.Created = s.revision
	}
	o.Status = old.Status // a write of the spec leaves it
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]platform.StoredObject{}
	}
	s.kinds[kind][o.Meta.Name] = o
	s.appendHistory(kind, platform.Change{Object: o})
	return o, written
}

// putStatus replaces the status of an object, whose revision must be the stated one.
func (s *store) putStatus(kind, name string, o platform.StoredObject) (platform.StoredObject, outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stored, found := s.kinds[kind][name]
	switch {
	case !found:
		return stored, missing
	case o.Meta.Revision != stored.Meta.Revision:
		return stored, conflict
	}
	s.revision++
	stored.Status, stored.Meta.Revision = o.Status, s.revision
	s.kinds[kind][name] = stored
	s.appendHistory(kind, platform.Change{Object: stored})
	return stored, written
}

func (s *store) remove(kind, name string, revision uint64) (platform.StoredObject, outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, found := s.kinds[kind][name]
	switch {
	case !found:
		return old, missing
	case revision != 0 && revision != old.Meta.Revision:
		return old, conflict
	}
	s.revision++
	delete(s.kinds[kind], name)
	s.appendHistory(kind, platform.Change{Removed: true, Object: old})
	return old, written
}

// appendHistory records a change and wakes the watches. The caller holds the
// lock.
func (s *store) appendHistory(kind string, c platform.Change) {
	s.history = append(s.history, historyEntry{revision: s.revision, at: time.Now(), kind: kind, change: c})
	close(s.changed)
	s.changed = make(chan struct{})
}

// compact makes the history unavailable to watches and wakes them. It is kept for
// restore.
func (s *store) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedRevision = s.revision
	close(s.changed)
	s.changed = make(chan struct{})
}

// restore goes back to the state at a time, in a new era, and wakes the watches.
func (s *store) restore(asOf time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := len(s.history)
	for kept > 0 && s.history[kept-1].at.After(asOf) {
		kept--
	}
	for at := len(s.history) - 1; at >= kept; at-- {
		s.revert(s.kinds[s.history[at].kind], s.history[at].kind, at)
	}
	s.history = s.history[:kept]
	s.era++
	s.revision = 0
	if kept > 0 {
		s.revision = s.history[kept-1].revision
	}
	s.compactedRevision = min(s.compactedRevision, s.revision)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) currentEra() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// wakeWatches makes the waiting watches check for changes and faults.
func (s *store) wakeWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

// changesSince returns the changes of a kind after a revision, the revision to
// continue from, and a channel that is closed at the next change. gone means
// that the changes after that revision were compacted.
func (s *store) changesSince(kind string, after uint64) (changes []platform.Change, revision uint64, changed <-chan struct{}, gone bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.compactedRevision || after > s.revision {
		return nil, 0, nil, true
	}
	for _, r := range s.history {
		if r.kind == kind && r.revision > after {
			changes = append(changes, r.change)
		}
	}
	return changes, s.revision, s.changed, false
}

// watch waits for changes of a kind until the wait has passed, the context ends
// or interrupted returns true, which it checks after each wake-up.
func (s *store) watch(ctx context.Context, kind string, after uint64, wait time.Duration, interrupted func() bool) (changes []platform.Change, revision uint64, gone bool) {
	era := s.currentEra()
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		changes, revision, changed, gone := s.changesSince(kind, after)
		if s.currentEra() != era {
			return nil, 0, true // the store was restored under the watch
		}
		if len(changes) > 0 || gone || interrupted() {
			return changes, revision, gone
		}
		select {
		case <-changed:
		case <-timeout.C:
			return nil, revision, false
		case <-ctx.Done():
			return nil, revision, false
		}
	}
}
