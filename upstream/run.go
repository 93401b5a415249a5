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
)

// errTooLarge says that an answer's body was longer than Config.MaxBody.
var errTooLarge = errors.New("the answer is too large")

// maxInterim is how many 1xx responses may come before the answer.
const maxInterimResponses = 5

// run makes one attempt. It returns the connection if the attempt used one.
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
			c.close() // its answers are out of step
		}
	case <-ctx.Done():
		c.close()
		reply.Kind, reply.Ran = noAnswerKind(ctx), core.RanUnknown
	}
	return reply, c
}

// errNoReuse says that no connection that has answered is idle.
var errNoReuse = errors.New("no connection to reuse")

// errNoPlace says that the upstream's connections are all in use.
var errConnLimit = errors.New("no connection is free")

// connect returns an idle connection, or opens one if the attempt and the
// limit allow it.
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
		return nil, false, eris.New("the new connection broke")
	}
	return c, true, nil
}

// refusedKind is the kind of an attempt that got no connection.
func connectFailureKind(ctx context.Context, err error) core.Kind {
	switch {
	case errors.Is(err, errConnLimit):
		return core.UpstreamShed
	default:
		return noAnswerKind(ctx)
	}
}

// lostKind is the kind of an attempt that ended without an answer.
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

// write sends the request; wrote says whether any byte of it may have left.
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

// newRequest has no context and no GetBody: nothing may send it again.
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

// readResult reads one answer, past interim responses.
func readResult(reader *bufio.Reader, maxBody int64) result {
	for range maxInterimResponses {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return result{err: err}
		}
		if response.StatusCode >= 200 {
			return readBody(response, maxBody)
		}
	}
	return result{err: eris.New("only interim responses")}
}

func readBody(response *http.Response, maxBody int64) result {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBody+1))
	if err == nil && int64(len(body)) > maxBody {
		err = errTooLarge
	}
	return result{response: response, body: body, err: err}
}
