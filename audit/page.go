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
	// pageGenerations is how many generations a page of accepted changes
	// holds: with resource.MaxEdits objects each it stays under the platform's
	// limit.
	pageGenerations = 16
	// pageTime is the time that a page of refused changes covers: a reading of
	// a day calls the platform for four or five of them.
	refusedPagePeriod = 6 * time.Hour
	// maxPageSize is where a page of refused changes stops growing, in bytes.
	maxPageSize = 900 << 10
	// writeTries bounds the conditional writes of one page.
	maxWriteAttempts = 8
)

// acceptedPage holds the accepted changes of pageGenerations generations.
type acceptedPage struct {
	Changes []resource.Change `json:"changes"`
}

// refusedPage holds the refused changes of one pageTime; Dropped counts those
// that did not fit or came too fast.
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

// readPage reads a page into a value that stays empty when there is none, and
// returns the page's version.
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

// update reads a page, lets change alter it, and writes it if it is still the
// same, again from the start when another host was faster. Since a page is
// read before each try, a write whose reply was lost is found and not
// repeated. change returns false when nothing is to be written.
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
