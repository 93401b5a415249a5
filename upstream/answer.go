package upstream

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

func runURL(address string) *url.URL {
	return &url.URL{Scheme: "http", Host: address, Path: "/v1/run"}
}

// interpret fills the reply from the HTTP response. An attempt counts as not
// run only if the response says so explicitly.
func interpret(reply *core.UpstreamReply, d core.Dispatch, answer result) {
	if answer.response == nil {
		reply.Kind, reply.Ran = core.UpstreamLost, core.RanUnknown
		return
	}
	header := answer.response.Header
	reply.Echo = header.Get("X-Attempt-Id")
	reply.Instance = header.Get("X-Instance-Id")
	reply.Draining = header.Get("X-Draining") == "true"
	reply.RetryAfter = retryAfter(header)
	reply.Kind, reply.Ran = outcome(answer)
	if reply.Kind != core.OK {
		return
	}
	if err := decodeAnswer(reply, d, answer); err != nil {
		reply.Kind = core.UpstreamFailed
		reply.Items, reply.Covered = nil, nil
	}
}

func outcome(answer result) (core.Kind, core.Ran) {
	switch answer.response.StatusCode {
	case http.StatusOK:
		return bodyOutcome(answer.err)
	case http.StatusServiceUnavailable:
		if answer.response.Header.Get("X-Not-Run") == "true" {
			return core.UpstreamShed, core.NotRun
		}
		return core.UpstreamFailed, core.HasRun
	case http.StatusGone:
		return core.SnapshotGone, core.NotRun
	case http.StatusRequestTimeout:
		return core.DeadlineExceeded, core.NotRun
	default:
		return core.UpstreamFailed, core.HasRun
	}
}

func bodyOutcome(err error) (core.Kind, core.Ran) {
	switch {
	case err == nil:
		return core.OK, core.HasRun
	case errors.Is(err, errTooLarge):
		return core.UpstreamFailed, core.HasRun
	default:
		return core.UpstreamLost, core.RanUnknown
	}
}

// decodeAnswer decodes a successful answer: the items of a search, or else the
// body as an opaque payload.
func decodeAnswer(reply *core.UpstreamReply, d core.Dispatch, answer result) error {
	if d.Query.IndexVersion == 0 {
		reply.Payload = answer.body
		return nil
	}
	header := answer.response.Header
	version, err := strconv.ParseUint(header.Get("X-Index-Version"), 10, 64)
	if err != nil {
		return eris.Wrap(err, "X-Index-Version")
	}
	reply.IndexVersion = version
	if reply.Covered, err = parseRanges(header.Get("X-Key-Ranges")); err != nil {
		return err
	}
	reply.Items, err = parseItems(answer.body)
	return err
}

func parseItems(body []byte) ([]*peerpb.Item, error) {
	var decoded struct {
		Items []struct {
			Key   uint64  `json:"key"`
			Score float64 `json:"score"`
			Value []byte  `json:"value"`
		} `json:"items"`
	}
	if err := json.Unmarshal(body, &decoded); err != nil {
		return nil, eris.Wrap(err, "search answer")
	}
	items := make([]*peerpb.Item, len(decoded.Items))
	for i, item := range decoded.Items {
		items[i] = &peerpb.Item{Key: item.Key, Score: item.Score, Value: item.Value}
	}
	return items, nil
}

// parseRanges parses "from-to,from-to" in decimal; an empty text has no ranges.
func parseRanges(text string) ([]*peerpb.KeyRange, error) {
	if text == "" {
		return nil, nil
	}
	var ranges []*peerpb.KeyRange
	for _, part := range strings.Split(text, ",") {
		from, to, _ := strings.Cut(strings.TrimSpace(part), "-")
		r := &peerpb.KeyRange{}
		var errFrom, errTo error
		r.From, errFrom = strconv.ParseUint(from, 10, 64)
		r.To, errTo = strconv.ParseUint(to, 10, 64)
		if err := errors.Join(errFrom, errTo); err != nil {
			return nil, eris.Wrapf(err, "key range %q", part)
		}
		ranges = append(ranges, r)
	}
	return ranges, nil
}

// retryAfter parses Retry-After as seconds, which may have a fraction. It
// returns 0 if the header is missing or invalid.
func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
