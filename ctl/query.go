package ctl

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/peterbourgon/ff/v3/ffcli"
)

// The defaults of a query.
const (
	defaultDeadline = time.Second
	defaultLimit    = 20
)

// queryFlags are the flags of the query command.
type queryFlags struct {
	deadline  time.Duration
	service   string
	once      bool
	requestID string
	rights    string
	limit     uint
}

func (a *app) queryCommand() *ffcli.Command {
	fs := a.commonFlags("query")
	var q queryFlags
	fs.StringVar(&a.callerAddresses, "caller", defaultCallerAddress, "caller addresses ip:port of hosts, tried in order, separated by commas")
	fs.DurationVar(&q.deadline, "deadline", defaultDeadline, "the time within which the answer is wanted")
	fs.StringVar(&q.service, "service", "", "call this service in place of a scope")
	fs.BoolVar(&q.once, "once", false, "run at most once; a call to a service does so unless --once=false is given")
	fs.StringVar(&q.requestID, "request", "", "request id (default: a new one)")
	fs.StringVar(&q.rights, "rights", "", "rights class: requests of different classes never share an answer")
	fs.UintVar(&q.limit, "limit", defaultLimit, "most results; 0 is the services' own default")
	return a.completeCommand(&ffcli.Command{
		Name:       "query",
		ShortUsage: "samphirectl query SCOPE QUESTION [flags], or query --service NAME PAYLOAD [flags]",
		ShortHelp:  "puts a question to a scope, or a call to a service",
		LongHelp: `EXAMPLES
  samphirectl query full-register "plate 1140" --deadline 340ms
  samphirectl query --service fee-7 "permit 88: 120.00" --request "$KEY"

A request id that is sent again must be the one of the first send: a UUIDv7 that
was made just before it.`,
		FlagSet: fs,
	}, func(ctx context.Context, args []string) error {
		r, err := q.request(args, isFlagSet(fs, "once"))
		if err != nil {
			return err
		}
		return a.query(ctx, r, q.deadline)
	})
}

// The bodies of the caller API.
type (
	queryBody struct {
		RequestID      string `json:"request_id"`
		Scope          string `json:"scope"`
		QuestionBase64 string `json:"question_base64"`
		DeadlineMs     int64  `json:"deadline_ms"`
		Limit          uint   `json:"limit"`
		Repeatable     bool   `json:"repeatable"`
	}
	callBody struct {
		RequestID     string `json:"request_id"`
		Service       string `json:"service"`
		PayloadBase64 string `json:"payload_base64"`
		DeadlineMs    int64  `json:"deadline_ms"`
		Repeatable    bool   `json:"repeatable"`
	}
	// answerBody holds the fields of an answer that the exit code and the
	// table depend on.
	answerBody struct {
		Snapshot uint64 `json:"snapshot"`
		Results  []struct {
			Key   uint64  `json:"key"`
			Score float64 `json:"score"`
			Value []byte  `json:"value"`
		} `json:"results"`
		Payload  []byte `json:"payload"`
		Coverage *struct {
			Fraction float64 `json:"fraction"`
			ReachMet bool    `json:"reach_met"`
		} `json:"coverage"`
		Kind   string `json:"kind"`
		Detail string `json:"detail"`
		Ran    string `json:"ran"`
	}
)

func (q *queryFlags) request(args []string, onceGiven bool) (request, error) {
	if q.requestID == "" {
		// The tier groups its at-most-once records by time interval, so the
		// id must be time-ordered.
		id, err := uuid.NewV7()
		if err != nil {
			return request{}, err
		}
		q.requestID = id.String()
	}
	header := http.Header{"Content-Type": {"application/json"}}
	if q.rights != "" {
		header.Set("X-Rights", q.rights)
	}
	if q.service != "" {
		return q.callRequest(args, onceGiven, header)
	}
	if len(args) != 2 {
		return request{}, usageErrorf("query: want a scope and a question")
	}
	body, err := json.Marshal(queryBody{
		RequestID:      q.requestID,
		Scope:          args[0],
		QuestionBase64: base64.StdEncoding.EncodeToString([]byte(args[1])),
		DeadlineMs:     q.deadline.Milliseconds(),
		Limit:          q.limit,
		Repeatable:     !q.once,
	})
	return request{method: http.MethodPost, path: "/v1/query", header: header, body: body}, err
}

func (q *queryFlags) callRequest(args []string, onceGiven bool, header http.Header) (request, error) {
	if len(args) != 1 {
		return request{}, usageErrorf("query: want one payload with --service")
	}
	body, err := json.Marshal(callBody{
		RequestID:     q.requestID,
		Service:       q.service,
		PayloadBase64: base64.StdEncoding.EncodeToString([]byte(args[0])),
		DeadlineMs:    q.deadline.Milliseconds(),
		Repeatable:    onceGiven && !q.once,
	})
	return request{method: http.MethodPost, path: "/v1/call", header: header, body: body}, err
}

// query tries the next host only if the connection could not be opened: a
// request that a host may have run is not sent again.
func (a *app) query(ctx context.Context, r request, deadline time.Duration) error {
	c, err := newClient(a.callerAddresses, deadline+a.timeout)
	if err != nil {
		return err
	}
	var answer *reply
	for _, host := range c.hosts {
		if answer, err = c.send(ctx, host, r); err == nil || !isDialError(err) {
			break
		}
	}
	if err != nil {
		return transportError(err)
	}
	return a.printAnswer(answer)
}

func transportError(err error) error {
	if isDialError(err) {
		return &exitError{ExitUnavailable, "not run, no host answered: " + err.Error()}
	}
	return &exitError{ExitUnknown, "no answer, the request may have run: " + err.Error()}
}

func (a *app) printAnswer(r *reply) error {
	var body answerBody
	if err := json.Unmarshal(r.body, &body); err != nil {
		return &exitError{ExitUnknown, "answer: " + err.Error()}
	}
	if a.output != formatTable {
		if err := writeValue(a.io.Out, a.output, json.RawMessage(r.body)); err != nil {
			return err
		}
	} else if body.Kind == "" {
		if err := a.printResults(&body); err != nil {
			return err
		}
	}
	return answerError(&body)
}

func (a *app) printResults(body *answerBody) error {
	if body.Coverage == nil && len(body.Results) == 0 {
		a.printf("%s\n", body.Payload)
		return nil
	}
	t := newTable(a.io.Out, "KEY", "SCORE", "VALUE")
	for _, item := range body.Results {
		t.row(fmt.Sprint(item.Key), fmt.Sprintf("%.4g", item.Score), strings.ToValidUTF8(string(item.Value), "?"))
	}
	if err := t.flush(); err != nil {
		return err
	}
	if body.Coverage != nil {
		a.printf("snapshot %d, coverage %.4g, reach met: %v\n", body.Snapshot, body.Coverage.Fraction, body.Coverage.ReachMet)
	}
	return nil
}

// answerError returns an error with the exit code of an answer, or nil on
// success.
func answerError(body *answerBody) error {
	text := body.Kind + " (" + body.Ran + "): " + body.Detail
	switch {
	case body.Kind == "" && (body.Coverage == nil || body.Coverage.ReachMet):
		return nil
	case body.Kind == "":
		return &exitError{ExitBelowReach, "the answer misses the declared reach"}
	case body.Ran == "not run":
		return &exitError{exitCodeForNotRun(body.Kind), text}
	case body.Ran == "run":
		return &exitError{ExitFailed, text}
	default:
		return &exitError{ExitUnknown, text}
	}
}

// exitCodeForNotRun returns the exit code for a request that was not run.
func exitCodeForNotRun(kind string) ExitCode {
	if exitCodeForKind(kind) == ExitUnavailable {
		return ExitUnavailable
	}
	return ExitRefused
}
