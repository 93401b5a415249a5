package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/samphirebeam/samphirebeam/api/operator"
	"github.com/samphirebeam/samphirebeam/core"
)

// maxReply is the longest answer that is read, in bytes.
const maxReplyBytes = 64 << 20

// request is one call of a host's API.
type request struct {
	method, path string
	header       http.Header
	body         []byte
}

// reply is an answer that was read whole.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// client calls the first host that answers.
type client struct {
	hosts   []string
	timeout time.Duration
	http    *http.Client
}

func newClient(hosts string, timeout time.Duration) (*client, error) {
	c := &client{timeout: timeout, http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	for host := range strings.SplitSeq(hosts, ",") {
		host = strings.TrimSpace(host)
		if _, _, err := net.SplitHostPort(host); err != nil {
			return nil, usageErrorf("host %q: must be ip:port", host)
		}
		c.hosts = append(c.hosts, host)
	}
	return c, nil
}

// do sends a request to one host after the other until one settles it. A
// change carries its operation id, so sending it to another host after a lost
// answer cannot make it twice; the error says when it may have been made.
func (c *client) do(ctx context.Context, r request) (*reply, error) {
	outcomeUnknown := false
	var lastErr *exitError
	for _, host := range c.hosts {
		answer, err := c.send(ctx, host, r)
		switch {
		case err != nil:
			outcomeUnknown = outcomeUnknown || (r.method != http.MethodGet && !isDialError(err))
			lastErr = &exitError{ExitUnavailable, "no host answered: " + err.Error()}
		case answer.status < http.StatusBadRequest || answer.status == http.StatusMultiStatus:
			return answer, nil
		default:
			failure := errorFromReply(answer)
			if failure.code != ExitUnavailable && failure.code != ExitUnknown {
				// A report on each object of a change comes with an error
				// status too; it is for the command to show.
				return answer, failure
			}
			outcomeUnknown = outcomeUnknown || failure.code == ExitUnknown
			lastErr = failure
		}
	}
	if outcomeUnknown {
		lastErr.code = ExitUnknown
	}
	return nil, lastErr
}

// failureError is the error in an answer.
func errorFromReply(r *reply) *exitError {
	var f operator.Failure
	if err := json.Unmarshal(r.body, &f); err != nil || f.Kind == "" {
		return &exitError{exitCodeForStatus(r.status), http.StatusText(r.status) + ": " + string(r.body)}
	}
	lines := []string{f.Kind + ": " + f.Detail}
	if len(f.Errors) > 0 {
		lines = []string{f.Kind}
	}
	for _, e := range f.Errors {
		lines = append(lines, "  "+e.String())
	}
	return &exitError{exitCodeForKind(f.Kind), strings.Join(lines, "\n")}
}

// codeOfStatus is the exit code of an answer that is no Failure: the report of
// a change that was refused whole, or an answer of something in between.
func exitCodeForStatus(status int) ExitCode {
	switch {
	case status == http.StatusConflict:
		return ExitConflict
	case status >= http.StatusInternalServerError:
		return ExitUnknown
	default:
		return ExitRefused
	}
}

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// send calls one host.
func (c *client) send(ctx context.Context, host string, r request) (*reply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	out, err := http.NewRequestWithContext(ctx, r.method, "http://"+host+r.path, bytes.NewReader(r.body))
	if err != nil {
		return nil, err
	}
	for name, values := range r.header {
		out.Header[name] = values
	}
	in, err := c.http.Do(out)
	if err != nil {
		return nil, err
	}
	defer func() { _ = in.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(in.Body, maxReplyBytes))
	if err != nil {
		return nil, err
	}
	return &reply{status: in.StatusCode, header: in.Header, body: body}, nil
}

// get reads JSON from a path.
func (c *client) get(ctx context.Context, path string, into any) error {
	answer, err := c.do(ctx, request{method: http.MethodGet, path: path})
	if err != nil {
		return err
	}
	if err := json.Unmarshal(answer.body, into); err != nil {
		return &exitError{ExitUnknown, core.Internal.String() + ": answer: " + err.Error()}
	}
	return nil
}
