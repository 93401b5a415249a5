package operator

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/platform"
	"github.com/samphirebeam/samphirebeam/resource"
)

// comeBack is when to come back after a refusal that passes.
const comeBack = 2 * time.Second

// failure is an error with the operation that it belongs to.
type failure struct {
	kind      core.Kind
	detail    string
	refusals  []resource.Refusal
	operation string
}

// Error returns the kind and the detail.
func (f *failure) Error() string { return f.kind.String() + ": " + f.detail }

// failureOf returns an error of any layer as a failure.
func failureOf(err error) *failure {
	var f *failure
	var refused *resource.Refused
	var known *core.Error
	var called *platform.Error
	switch {
	case errors.As(err, &f):
		return f
	case errors.As(err, &refused):
		return &failure{kind: refused.Kind, detail: refused.Reasons(), refusals: refused.Refusals}
	case errors.As(err, &known):
		return &failure{kind: known.Kind, detail: known.Detail}
	case errors.As(err, &called):
		return &failure{kind: called.Kind, detail: called.Error()}
	default:
		return &failure{kind: core.Internal, detail: err.Error()}
	}
}

// kindOf is the kind of an error, OK for none.
func kindOf(err error) core.Kind {
	if err == nil {
		return core.OK
	}
	return failureOf(err).kind
}

// fail answers with an error.
func fail(w http.ResponseWriter, err error) {
	f := failureOf(err)
	row := core.AnswerTo(f.kind)
	body := Failure{Kind: row.Name, Detail: f.detail, Errors: f.refusals, Operation: f.operation}
	if row.HasRetryAfter {
		body.RetryAfterMs = comeBack.Milliseconds()
		w.Header().Set("Retry-After", strconv.Itoa(int(comeBack/time.Second)))
	}
	writeJSON(w, row.Status, body)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(encoded, '\n'))
}
