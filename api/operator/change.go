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
	// maxConflictWait is the maximum wait before a change that lost a race is
	// retried, maxUnavailableWait before one whose platform call failed.
	maxConflictWait    = 20 * time.Millisecond
	maxUnavailableWait = 500 * time.Millisecond
)

// changeAttempts is the state of one change over all its attempts.
type changeAttempts struct {
	*api
	request resource.Request
	// firstRead holds the versions of the request's objects when the document was
	// first read. A concurrent change to one of these objects is a conflict; a
	// concurrent change to other objects is not.
	firstRead map[resource.Ref]uint64
	// unconfirmed is set after a write without a reply, which may have been
	// accepted or may still be; unconfirmedVersion is the platform version that
	// the write was conditional on.
	unconfirmedVersion uint64
	unconfirmed        bool
	// unconfirmedReport is the answer if that write was accepted.
	unconfirmedReport *ChangeReport
	lastErr           error
}

// change applies a request and reports the outcome of each object. The error
// PlatformUnavailable means that the change was certainly not accepted, and
// OutcomeUnknown that it may have been. The change continues even if the operator
// disconnects: otherwise it could be accepted without this host noticing.
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

// errRetry is returned by an attempt after which another one may succeed.
var errRetry = errors.New("try again")

// retry records why an attempt did not finish the change, and returns errRetry.
func (c *changeAttempts) retry(cause error) error {
	c.lastErr = cause
	return errRetry
}

// attempt reads the document, applies the request to it and writes the result.
func (c *changeAttempts) attempt(ctx context.Context) (*ChangeReport, error) {
	s, err := c.load(ctx)
	// Once a write may have been accepted, OutcomeUnknown is the only correct
	// error; finalError returns it.
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
		// The document is newer than the write's condition and does not contain
		// the operation: the write was not accepted and can no longer be.
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
// read. It is safe to repeat after a lost reply, since the condition can be met
// only once.
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

// accepted passes an accepted document to the host and the audit trail.
func (c *changeAttempts) accepted(s storedConfig) {
	c.config.Accepted(s.encoded, s.version)
	if change := s.doc.Operation(c.request.Operation); change != nil {
		c.config.Trail.Accepted(s.doc, change)
	}
}

// alreadyAccepted reports on a change that the document already contains, from a
// write whose reply was lost or from an earlier request.
func (c *changeAttempts) alreadyAccepted(s storedConfig, earlier *resource.Change) *ChangeReport {
	if c.unconfirmed {
		c.accepted(s)
	} else {
		// The host that accepted it may have crashed before it sent the document
		// to the others.
		c.config.Accepted(s.encoded, s.version)
	}
	if c.unconfirmedReport != nil && c.unconfirmedReport.Generation == earlier.Generation {
		return c.unconfirmedReport
	}
	return reportEarlier(s.doc, earlier, c.request)
}

// checkConcurrentChange returns Conflict if an object of the request has changed
// since the first attempt read it.
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

// waitBeforeRetry waits for a random time, so that racing operators spread out.
// It returns false if the context ends first.
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

// finalError returns the error of a change whose attempts or time are used up.
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
