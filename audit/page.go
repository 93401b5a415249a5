package audit

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/platform"
	"github.com/samphirebeam/samphirebeam/resource"
)

const (
	// pageGenerations is how many generations a page of accepted changes holds.
	// Even with resource.MaxEdits objects in each, a page stays below the
	// platform's size limit.
	pageGenerations = 16
	// refusedPagePeriod is the time that a page of refused changes covers.
	// Reading one day takes four or five platform calls.
	refusedPagePeriod = 6 * time.Hour
	// maxPageSize is the maximum size of a page of refused changes, in bytes.
	maxPageSize = 900 << 10
	// maxWriteAttempts bounds the conditional writes per update of a page.
	maxWriteAttempts = 8
)

// acceptedPage holds the accepted changes of pageGenerations generations.
type acceptedPage struct {
	Changes []resource.Change `json:"changes"`
}

// refusedPage holds the refused changes of one refusedPagePeriod. Dropped counts
// those that did not fit on the page or into the buffer of a host.
type refusedPage struct {
	Entries []Entry `json:"entries"`
	Dropped int     `json:"dropped,omitempty"`
}

func pageOf(generation uint64) uint64 { return generation / pageGenerations }

func acceptedKey(page uint64) string {
	return fmt.Sprintf("%saccepted/%010d", core.AuditKeyPrefix, page)
}

func refusedKey(at time.Time) string {
	return fmt.Sprintf("%srefused/%d", core.AuditKeyPrefix, at.Unix()/int64(refusedPagePeriod/time.Second))
}

// readPage decodes a page into a value and returns the page's version. If the
// page does not exist, the value is left empty and the version is 0.
func readPage(ctx context.Context, store platform.Store, key string, into any) (uint64, error) {
	o, err := store.Get(ctx, key)
	if platform.KindOf(err) == core.UnknownName {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	return o.Version, eris.Wrap(json.Unmarshal(o.Value, into), key)
}

// updatePage reads a page, applies change to it, and writes it back on condition
// that its version is still the one read. It starts over if the write fails, such
// as after a concurrent write by another host. change returns false if there is
// nothing to write. Since the page is read before each attempt, change sees a
// write whose reply was lost, and the write is not repeated.
func updatePage[T any](ctx context.Context, store platform.Store, key string, change func(*T) bool) error {
	var lastErr error
	for range maxWriteAttempts {
		var page T
		version, err := readPage(ctx, store, key, &page)
		if err != nil {
			return err
		}
		if !change(&page) {
			return nil
		}
		value, err := json.Marshal(page)
		if err != nil {
			return eris.Wrap(err, key)
		}
		if _, lastErr = store.Put(ctx, key, value, version); lastErr == nil {
			return nil
		}
		if platform.KindOf(lastErr) == core.TooLarge {
			return lastErr
		}
	}
	return lastErr
}
