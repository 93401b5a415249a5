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
	maxConflictWait    = 20 * time.Millisecond
	maxUnavailableWait = 500 * time.Millisecond
)

// changer carries one change through to a sure outcome.
type changeAttempts struct {
	*api
	request resource.Request
	// versions are the versions of the objects as first read: a change made
	// meanwhile to one of them is a conflict, one made beside them is not.
	firstRead map[resource.Ref]uint64
	// written is the platform version that a write without an answer was
	// conditional on; it may have been accepted or be accepted yet.
	unconfirmedVersion uint64
	unconfirmed        bool
	// report is what that write's answer would be.
	unconfirmedReport *ChangeReport
	lastErr           error
}

// change makes the request's change, and reports each object of it. Of the
// errors PlatformUnavailable says that the change is surely not accepted, and
// OutcomeUnknown that it may be. A change that was begun is settled even if its
// operator hangs up: otherwise one could be accepted that this host never heard
// of.
func (a *api) change(ctx context.Context, request resource.Request) (*ChangeReport, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), a.config.Timeout)
	defer cancel()
	c := &changeAttempts{api: a, request: request}
	for range a.config.Tries {
		report, err := c.attempt(ctx)
		if !errors.Is(err, errRetry) {
			return report, err
		}
		if !c.waitBeforeRetry(ctx) {
			break
		}
	}
	return nil, c.finalError()
}

// errTryAgain says that another round may settle the change.
var errRetry = errors.New("try again")

// again notes why a round settled nothing.
func (c *changeAttempts) retry(cause error) error {
	c.lastErr = cause
	return errRetry
}

// try makes one round: read, judge, write.
func (c *changeAttempts) attempt(ctx context.Context) (*ChangeReport, error) {
	s, err := c.load(ctx)
	// Once a write may have been accepted, no error but OutcomeUnknown is true.
	if err != nil && (c.unconfirmed || kindOf(err) == core.PlatformUnavailable) {
		return nil, c.retry(err)
	}
	if err != nil {
		return nil, err
	}
	if c.unconfirmed && s.version < c.unconfirmedVersion {
		return nil, c.retry(core.Errorf(core.PlatformUnavailable, "the platform answered with an old copy"))
	}
	if earlier := s.doc.Operation(c.request.Operation); earlier != nil {
		return c.alreadyAccepted(s, earlier), nil
	}
	if c.unconfirmed && s.version > c.unconfirmedVersion {
		// The write's condition can no longer hold, and the document does not
		// remember it: it was surely not accepted.
		c.unconfirmed = false
	}
	if err := c.checkConcurrentChange(s.doc); err != nil {
		return nil, err
	}
	next, report := applyAcceptable(s.doc, c.request)
	if next == s.doc {
		return report, nil
	}
	return c.write(ctx, s, next, report)
}

// write stores the next document if the platform still holds the one that was
// read. The same write may be sent again after a lost reply: its condition
// holds once.
func (c *changeAttempts) write(ctx context.Context, s storedConfig, next *resource.Document, report *ChangeReport) (*ChangeReport, error) {
	encoded, err := next.Encode()
	if err != nil {
		return nil, err
	}
	if err := c.config.Trail.ArchiveBeforeDrop(ctx, s.doc, next); err != nil {
		return nil, c.retry(err)
	}
	version, err := c.config.Store.Put(ctx, core.ConfigKey, encoded, s.version)
	switch {
	case err == nil:
		c.accepted(storedConfig{doc: next, encoded: encoded, version: version})
		return report, nil
	case platform.SurelyNotRun(err): // a conflict, or no connection
		return nil, c.retry(err)
	default:
		c.unconfirmedVersion, c.unconfirmed, c.unconfirmedReport = s.version, true, report
		return nil, c.retry(err)
	}
}

// accepted hands an accepted document to the host and the trail.
func (c *changeAttempts) accepted(s storedConfig) {
	c.config.Accepted(s.encoded, s.version)
	if change := s.doc.Operation(c.request.Operation); change != nil {
		c.config.Trail.Accepted(s.doc, change)
	}
}

// settled reports a change that the document already remembers, from a lost
// reply or an earlier request.
func (c *changeAttempts) alreadyAccepted(s storedConfig, earlier *resource.Change) *ChangeReport {
	if c.unconfirmed {
		c.accepted(s)
	} else {
		// The host that accepted it may have died before it told the others.
		c.config.Accepted(s.encoded, s.version)
	}
	if c.unconfirmedReport != nil && c.unconfirmedReport.Generation == earlier.Generation {
		return c.unconfirmedReport
	}
	return reportEarlier(s.doc, earlier, c.request)
}

// checkOvertaken refuses the change if one of its objects changed since this
// request first read it.
func (c *changeAttempts) checkConcurrentChange(d *resource.Document) error {
	current := map[resource.Ref]uint64{}
	for _, e := range c.request.Edits {
		if o := d.Find(e.Object.Ref()); o != nil {
			current[o.Ref()] = o.Version
		}
	}
	if c.firstRead == nil {
		c.firstRead = current
		return nil
	}
	for _, e := range c.request.Edits {
		ref := e.Object.Ref()
		if current[ref] != c.firstRead[ref] {
			return c.newFailure(core.Conflict, ref.String()+" was changed by another operator meanwhile")
		}
	}
	return nil
}

func (c *changeAttempts) waitBeforeRetry(ctx context.Context) bool {
	maxWait := maxUnavailableWait
	if kindOf(c.lastErr) == core.Conflict {
		maxWait = maxConflictWait
	}
	timer := time.NewTimer(rand.N(maxWait))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// giveUp says what is sure of a change that could not be settled.
func (c *changeAttempts) finalError() error {
	cause := "no cause"
	if c.lastErr != nil {
		cause = c.lastErr.Error()
	}
	switch {
	case c.unconfirmed:
		return c.newFailure(core.OutcomeUnknown, "the change may have been accepted; send it again under the same operation id: "+cause)
	case kindOf(c.lastErr) == core.Conflict:
		return c.newFailure(core.Conflict, "not accepted: too many changes at once: "+cause)
	default:
		return c.newFailure(core.PlatformUnavailable, "not accepted: "+cause)
	}
}

func (c *changeAttempts) newFailure(kind core.Kind, detail string) error {
	return &failure{kind: kind, detail: detail, operation: c.request.Operation}
}
