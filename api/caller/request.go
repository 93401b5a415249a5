package caller

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// Limits of request fields. Priorities are from -maxPriority to maxPriority.
const (
	maxNameBytes = 256
	maxPriority  = 100
)

// Query is the body of POST /v1/query. The question is given either as plain text
// or as base64.
type Query struct {
	RequestID      string `json:"request_id"`
	Scope          string `json:"scope"`
	Question       string `json:"question"`
	QuestionBase64 string `json:"question_base64"`
	DeadlineMs     int64  `json:"deadline_ms"`
	Priority       int32  `json:"priority"`
	Limit          uint32 `json:"limit"`
	// Repeatable is true if omitted.
	Repeatable *bool `json:"repeatable"`
}

// Call is the body of POST /v1/call. The payload is given either as plain text or
// as base64.
type Call struct {
	RequestID     string `json:"request_id"`
	Service       string `json:"service"`
	Payload       string `json:"payload"`
	PayloadBase64 string `json:"payload_base64"`
	DeadlineMs    int64  `json:"deadline_ms"`
	Priority      int32  `json:"priority"`
	// Repeatable is false if omitted: the call then runs at most once.
	Repeatable bool `json:"repeatable"`
}

func decodeQuery(cfg *Config, r *http.Request) (*peerpb.Query, *core.Error) {
	var body Query
	if err := decodeBody(cfg, r, &body); err != nil {
		return nil, err
	}
	question, err := textOrBase64(body.Question, body.QuestionBase64, "question")
	if err != nil {
		return nil, err
	}
	q := &peerpb.Query{
		RequestId: body.RequestID,
		Scope:     body.Scope,
		Question:  question,
		Priority:  body.Priority,
		Limit:     body.Limit,
		Once:      body.Repeatable != nil && !*body.Repeatable,
		Rights:    r.Header.Get("X-Rights"),
	}
	if len(question) == 0 {
		return nil, core.Errorf(core.InvalidRequest, "question is missing")
	}
	return validate(cfg, q, body.DeadlineMs, "scope", q.Scope)
}

func decodeCall(cfg *Config, r *http.Request) (*peerpb.Query, *core.Error) {
	var body Call
	if err := decodeBody(cfg, r, &body); err != nil {
		return nil, err
	}
	payload, err := textOrBase64(body.Payload, body.PayloadBase64, "payload")
	if err != nil {
		return nil, err
	}
	q := &peerpb.Query{
		RequestId: body.RequestID,
		Service:   body.Service,
		Question:  payload,
		Priority:  body.Priority,
		Once:      !body.Repeatable,
		Rights:    r.Header.Get("X-Rights"),
	}
	return validate(cfg, q, body.DeadlineMs, "service", q.Service)
}

// decodeBody reads the body, which must hold exactly one JSON value without
// unknown fields.
func decodeBody(cfg *Config, r *http.Request, into any) *core.Error {
	decoder := json.NewDecoder(http.MaxBytesReader(nil, r.Body, cfg.MaxBody))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
	if err == nil {
		_, err = decoder.Token()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err == nil {
			err = errors.New("more than one JSON value")
		}
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return core.Errorf(core.TooLarge, "the body is longer than %d bytes", cfg.MaxBody)
	}
	return core.Errorf(core.InvalidRequest, "body: %v", err)
}

// textOrBase64 returns the plain value or the decoded base64 value; at most one of
// them may be given.
func textOrBase64(plain, encoded, name string) ([]byte, *core.Error) {
	if encoded == "" {
		return []byte(plain), nil
	}
	if plain != "" {
		return nil, core.Errorf(core.InvalidRequest, "%s and %s_base64 are both given", name, name)
	}
	decoded, err := base64.StdEncoding.DecodeString(encoded)
	if err != nil {
		return nil, core.Errorf(core.InvalidRequest, "%s_base64: %v", name, err)
	}
	return decoded, nil
}

// validate checks the fields of a request and sets its remaining time.
func validate(cfg *Config, q *peerpb.Query, deadlineMs int64, targetName, target string) (*peerpb.Query, *core.Error) {
	maxDeadlineMs := cfg.MaxDeadline.Milliseconds()
	switch {
	case q.RequestId == "":
		return nil, core.Errorf(core.InvalidRequest, "request_id is missing")
	case target == "":
		return nil, core.Errorf(core.InvalidRequest, "%s is missing", targetName)
	case len(q.RequestId) > maxNameBytes || len(target) > maxNameBytes || len(q.Rights) > maxNameBytes:
		return nil, core.Errorf(core.TooLarge, "request_id, %s or X-Rights is longer than %d bytes", targetName, maxNameBytes)
	case deadlineMs <= 0 || deadlineMs > maxDeadlineMs:
		return nil, core.Errorf(core.InvalidRequest, "deadline_ms must be from 1 to %d", maxDeadlineMs)
	case q.Priority < -maxPriority || q.Priority > maxPriority:
		return nil, core.Errorf(core.InvalidRequest, "priority must be from %d to %d", -maxPriority, maxPriority)
	case q.Limit > cfg.MaxLimit:
		return nil, core.Errorf(core.InvalidRequest, "limit must be at most %d", cfg.MaxLimit)
	}
	// The deadline is multiplied only after the check above: a huge value would
	// overflow.
	q.RemainingUs = deadlineMs * time.Millisecond.Microseconds()
	return q, nil
}
