package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// requestBody is the body of a caller API request.
type requestBody struct {
	RequestID  string `json:"request_id"`
	Scope      string `json:"scope,omitempty"`
	Service    string `json:"service,omitempty"`
	Question   string `json:"question,omitempty"`
	Payload    string `json:"payload,omitempty"`
	DeadlineMs int64  `json:"deadline_ms"`
	Priority   int    `json:"priority,omitempty"`
	Limit      int    `json:"limit,omitempty"`
	Repeatable *bool  `json:"repeatable,omitempty"`
}

// answerBody holds the fields of an answer that are evaluated.
type answerBody struct {
	Kind     string `json:"kind"`
	Coverage struct {
		Fraction float64 `json:"fraction"`
	} `json:"coverage"`
	Attempts int `json:"attempts"`
	Extra    int `json:"extra"`
}

// Client sends requests to the caller APIs of hosts.
type Client struct{ http *http.Client }

// NewClient returns a client that opens connections without limit and keeps
// idle ones open for reuse.
func NewClient() *Client {
	transport := &http.Transport{
		MaxIdleConnsPerHost: 4096,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
	return &Client{http: &http.Client{Transport: transport}}
}

// Do sends one request and returns its outcome. The caller sets
// Outcome.Intended.
func (c *Client) Do(ctx context.Context, base string, path string, body requestBody) Outcome {
	encoded, err := json.Marshal(body)
	if err != nil {
		return Outcome{Kind: "ClientFault", Ended: time.Now()}
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, base+path, bytes.NewReader(encoded))
	if err != nil {
		return Outcome{Kind: "ClientFault", Ended: time.Now()}
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return Outcome{Kind: "NoAnswer", Ended: time.Now()}
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	ended := time.Now()
	if err != nil {
		return Outcome{Kind: "CutAnswer", Ended: ended}
	}
	return parseOutcome(response.StatusCode, raw, ended)
}

func parseOutcome(status int, raw []byte, ended time.Time) Outcome {
	var answer answerBody
	if err := json.Unmarshal(raw, &answer); err != nil {
		return Outcome{Kind: "BadAnswer", Ended: ended}
	}
	o := Outcome{
		Kind:     answer.Kind,
		Ended:    ended,
		Coverage: answer.Coverage.Fraction,
		Attempts: answer.Attempts,
		Extra:    answer.Extra,
	}
	if o.Kind == "" && status == http.StatusOK {
		o.Kind = "OK"
	}
	return o
}
