package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/internal/httpstatus"
)

// errTooLarge means that the body of an answer exceeds Config.MaxBody.
var errTooLarge = errors.New("response body exceeds the limit")

// maxInterimResponses bounds the responses read for one request, of which all
// but the last may be interim (1xx).
const maxInterimResponses = 5

// run makes one attempt and returns the connection that it used, or nil.
func (h *HTTP) run(ctx context.Context, d core.Dispatch) (core.UpstreamReply, *conn) {
	reply := core.UpstreamReply{Upstream: d.Upstream.ID, Attempt: d.Attempt}
	c, isNew, err := h.connect(ctx, d)
	if err != nil {
		reply.Kind, reply.Ran = connectFailureKind(ctx, err), core.NotRun
		return reply, nil
	}
	reply.NewConnection = isNew
	if wrote, err := c.write(ctx, newRequest(d)); err != nil {
		c.close()
		reply.Kind, reply.Ran = noAnswerKind(ctx), core.RanUnknown
		if !wrote {
			reply.Ran = core.NotRun
		}
		return reply, c
	}
	select {
	case answer := <-c.results:
		interpret(&reply, d, answer)
		c.answered = answer.err == nil
		if reply.Echo != d.Attempt.String() {
			c.close() // the answer belongs to another attempt
		}
	case <-ctx.Done():
		c.close()
		reply.Kind, reply.Ran = noAnswerKind(ctx), core.RanUnknown
	}
	return reply, c
}

// errNoReuse means that no idle connection has answered a request before.
var errNoReuse = errors.New("no idle connection to reuse")

// errConnLimit means that all connections of the upstream are in use.
var errConnLimit = errors.New("connection limit reached")

// connect returns an idle connection, or opens a new one if the attempt and the
// connection limit allow it.
func (h *HTTP) connect(ctx context.Context, d core.Dispatch) (c *conn, isNew bool, err error) {
	u := d.Upstream
	p := h.pool(u)
	if c := p.take(d.ReuseOnly); c != nil {
		return c, false, nil
	}
	if d.ReuseOnly {
		return nil, false, errNoReuse
	}
	if !p.reserve(u.Connections) {
		return nil, false, errConnLimit
	}
	c, err = h.dial(ctx, p)
	if err != nil {
		return nil, false, err
	}
	if !c.acquireNew() {
		return nil, false, eris.New("new connection closed before the request was sent")
	}
	return c, true, nil
}

// connectFailureKind returns the kind of an attempt that got no connection.
func connectFailureKind(ctx context.Context, err error) core.Kind {
	switch {
	case errors.Is(err, errConnLimit):
		return core.UpstreamShed
	default:
		return noAnswerKind(ctx)
	}
}

// noAnswerKind returns the kind of an attempt that ended without an answer.
func noAnswerKind(ctx context.Context) core.Kind {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return core.DeadlineExceeded
	case ctx.Err() != nil:
		return core.Cancelled
	default:
		return core.UpstreamLost
	}
}

// write sends the request. It reports whether any byte of it may have been
// sent.
func (c *conn) write(ctx context.Context, request *http.Request) (wrote bool, err error) {
	before := c.written.bytes
	stopAfterFunc := context.AfterFunc(ctx, c.close)
	defer stopAfterFunc()
	if err := request.Write(c.writer); err != nil {
		return c.written.bytes > before, err
	}
	err = c.writer.Flush()
	return c.written.bytes > before, err
}

// newRequest builds a request without GetBody, so that it cannot be resent.
func newRequest(d core.Dispatch) *http.Request {
	q := d.Query
	header := http.Header{
		"X-Attempt-Id":  {d.Attempt.String()},
		"X-Query-Id":    {q.QueryId},
		"X-Deadline-Ms": {strconv.FormatInt(max(0, time.Until(d.Deadline).Milliseconds()), 10)},
		"X-Limit":       {strconv.FormatUint(uint64(q.Limit), 10)},
		"Content-Type":  {"application/octet-stream"},
		"User-Agent":    {"samphirebeam"},
	}
	if q.IndexVersion != 0 {
		header["X-Index-Version"] = []string{strconv.FormatUint(q.IndexVersion, 10)}
	}
	if !d.StartBy.IsZero() {
		header["X-Start-By-Unix-Ms"] = []string{strconv.FormatInt(d.StartBy.UnixMilli(), 10)}
	}
	return &http.Request{
		Method:        http.MethodPost,
		URL:           runURL(d.Upstream.Address),
		Host:          d.Upstream.Address,
		Header:        header,
		Body:          io.NopCloser(bytes.NewReader(q.Question)),
		ContentLength: int64(len(q.Question)),
	}
}

// readResult reads one answer and skips interim (1xx) responses.
func readResult(reader *bufio.Reader, maxBody int64) result {
	for range maxInterimResponses {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return result{err: err}
		}
		if err := httpstatus.Check(response); err != nil {
			return result{err: err}
		}
		if response.StatusCode >= 200 {
			return readBody(response, maxBody)
		}
	}
	return result{err: eris.New("too many interim responses")}
}

func readBody(response *http.Response, maxBody int64) result {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBody+1))
	if err == nil && int64(len(body)) > maxBody {
		err = errTooLarge
	}
	return result{response: response, body: body, err: err}
}
