package operator

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/platform"
	"github.com/samphirebeam/samphirebeam/resource"
)

const (
	// pauseConflict is the most time before a change that lost a race is tried
	// again, pauseUnavailable before one that the platform did not answer.
	pauseConflict    = 20 * time.Millisecond
	pauseUnavailable = 500 * time.Millisecond
)

// changer carries one change through to a sure outcome.
type changer struct {
	*api
	request resource.Request
	// versions are the versions of the objects as first read: a change made
	// meanwhile to one of them is a conflict, one made beside them is not.
	versions map[resource.Ref]uint64
	// written is the platform version that a write without an answer was
	// conditional on; it may have been accepted or be accepted yet.
	written    uint64
	hasWritten bool
	// report is what that write's answer would be.
	report *ChangeReport
	failed error
}

// change makes the request's change, and reports each object of it. Of the
// errors PlatformUnavailable says that the change is surely not accepted, and
// OutcomeUnknown that it may be. A change that was begun is settled even if its
// operator hangs up: otherwise one could be accepted that this host never heard
// of.
func (a *api) change(ctx context.Context, request resource.Request) (*ChangeReport, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), a.config.Timeout)
	defer cancel()
	c := &changer{api: a, request: request}
	for range a.config.Tries {
		report, err := c.try(ctx)
		if !errors.Is(err, errTryAgain) {
			return report, err
		}
		if !c.pause(ctx) {
			break
		}
	}
	return nil, c.giveUp()
}

// errTryAgain says that another round may settle the change.
var errTryAgain = errors.New("try again")

// again notes why a round settled nothing.
func (c *changer) again(cause error) error {
	c.failed = cause
	return errTryAgain
}

// try makes one round: read, judge, write.
func (c *changer) try(ctx context.Context) (*ChangeReport, error) {
	s, err := c.load(ctx)
	// Once a write may have been accepted, no error but OutcomeUnknown is true.
	if err != nil && (c.hasWritten || kindOf(err) == core.PlatformUnavailable) {
		return nil, c.again(err)
	}
	if err != nil {
		return nil, err
	}
	if c.hasWritten && s.version < c.written {
		return nil, c.again(core.Errorf(core.PlatformUnavailable, "the platform answered with an old copy"))
	}
	if earlier := s.doc.Operation(c.request.Operation); earlier != nil {
		return c.settled(s, earlier), nil
	}
	if c.hasWritten && s.version > c.written {
		// The write's condition can no longer hold, and the document does not
		// remember it: it was surely not accepted.
		c.hasWritten = false
	}
	if err := c.checkOvertaken(s.doc); err != nil {
		return nil, err
	}
	next, report := judge(s.doc, c.request)
	if next == s.doc {
		return report, nil
	}
	return c.write(ctx, s, next, report)
}

// write stores the next document if the platform still holds the one that was
// read. The same write may be sent again after a lost reply: its condition
// holds once.
func (c *changer) write(ctx context.Context, s stored, next *resource.Document, report *ChangeReport) (*ChangeReport, error) {
	encoded, err := next.Encode()
	if err != nil {
		return nil, err
	}
	if err := c.config.Trail.ArchiveBeforeDrop(ctx, s.doc, next); err != nil {
		return nil, c.again(err)
	}
	version, err := c.config.Store.Put(ctx, core.ConfigKey, encoded, s.version)
	switch {
	case err == nil:
		c.accepted(stored{doc: next, encoded: encoded, version: version})
		return report, nil
	case platform.SurelyNotRun(err): // a conflict, or no connection
		return nil, c.again(err)
	default:
		c.written, c.hasWritten, c.report = s.version, true, report
		return nil, c.again(err)
	}
}

// accepted hands an accepted document to the host and the trail.
func (c *changer) accepted(s stored) {
	c.config.Accepted(s.encoded, s.version)
	if change := s.doc.Operation(c.request.Operation); change != nil {
		c.config.Trail.Accepted(s.doc, change)
	}
}

// settled reports a change that the document already remembers, from a lost
// reply or an earlier request.
func (c *changer) settled(s stored, earlier *resource.Change) *ChangeReport {
	if c.hasWritten {
		c.accepted(s)
	} else {
		// The host that accepted it may have died before it told the others.
		c.config.Accepted(s.encoded, s.version)
	}
	if c.report != nil && c.report.Generation == earlier.Generation {
		return c.report
	}
	return reportEarlier(s.doc, earlier, c.request)
}

// checkOvertaken refuses the change if one of its objects changed since this
// request first read it.
func (c *changer) checkOvertaken(d *resource.Document) error {
	now := map[resource.Ref]uint64{}
	for _, e := range c.request.Edits {
		if o := d.Find(e.Object.Ref()); o != nil {
			now[o.Ref()] = o.Version
		}
	}
	if c.versions == nil {
		c.versions = now
		return nil
	}
	for _, e := range c.request.Edits {
		ref := e.Object.Ref()
		if now[ref] != c.versions[ref] {
			return c.fail(core.Conflict, ref.String()+" was changed by another operator meanwhile")
		}
	}
	return nil
}

func (c *changer) pause(ctx context.Context) bool {
	most := pauseUnavailable
	if kindOf(c.failed) == core.Conflict {
		most = pauseConflict
	}
	timer := time.NewTimer(rand.N(most))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// giveUp says what is sure of a change that could not be settled.
func (c *changer) giveUp() error {
	cause := "no cause"
	if c.failed != nil {
		cause = c.failed.Error()
	}
	switch {
	case c.hasWritten:
		return c.fail(core.OutcomeUnknown, "the change may have been accepted; send it again under the same operation id: "+cause)
	case kindOf(c.failed) == core.Conflict:
		return c.fail(core.Conflict, "not accepted: too many changes at once: "+cause)
	default:
		return c.fail(core.PlatformUnavailable, "not accepted: "+cause)
	}
}

func (c *changer) fail(kind core.Kind, detail string) error {
	return &failure{kind: kind, detail: detail, operation: c.request.Operation}
}
