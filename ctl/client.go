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

// maxReplyBytes bounds how much of a reply body is read.
const maxReplyBytes = 64 << 20

// request is one request to a host's API.
type request struct {
	method, path string
	header       http.Header
	body         []byte
}

// reply is a response whose body was read completely.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// client sends requests to a list of hosts, tried in order.
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

// do sends a request to one host after the other until one returns a definite
// result. A change carries an operation id, so resending it to another host
// after a lost reply cannot apply it twice. The error has code ExitUnknown if
// the change may have been applied.
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
				// The per-object report of a change also comes with an error
				// status; the command prints it.
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

// errorFromReply converts a reply with an error status to an exitError.
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

// exitCodeForStatus returns the exit code for a reply whose body is not an
// operator.Failure: the report of a change that was refused as a whole, or the
// reply of a proxy between the client and the host.
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

// send sends a request to one host.
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

// get requests a path and decodes the JSON body of the reply.
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
