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

// retryAfter is the Retry-After of answers whose cause is temporary.
const retryAfter = 2 * time.Second

// failure is an error in the form of an answer, with the operation id of the
// request.
type failure struct {
	kind      core.Kind
	detail    string
	refusals  []resource.Refusal
	operation string
}

// Error returns the kind and the detail.
func (f *failure) Error() string { return f.kind.String() + ": " + f.detail }

// toFailure converts an error of any layer to a failure.
func toFailure(err error) *failure {
	var f *failure
	var refused *resource.Refused
	var coreErr *core.Error
	var platformErr *platform.Error
	switch {
	case errors.As(err, &f):
		return f
	case errors.As(err, &refused):
		return &failure{kind: refused.Kind, detail: refused.Reasons(), refusals: refused.Refusals}
	case errors.As(err, &coreErr):
		return &failure{kind: coreErr.Kind, detail: coreErr.Detail}
	case errors.As(err, &platformErr):
		return &failure{kind: platformErr.Kind, detail: platformErr.Error()}
	default:
		return &failure{kind: core.Internal, detail: err.Error()}
	}
}

// kindOf returns the kind of an error, or OK for nil.
func kindOf(err error) core.Kind {
	if err == nil {
		return core.OK
	}
	return toFailure(err).kind
}

// writeFailure answers with an error.
func writeFailure(w http.ResponseWriter, err error) {
	f := toFailure(err)
	row := core.AnswerTo(f.kind)
	body := Failure{Kind: row.Name, Detail: f.detail, Errors: f.refusals, Operation: f.operation}
	if row.HasRetryAfter {
		body.RetryAfterMs = retryAfter.Milliseconds()
		w.Header().Set("Retry-After", strconv.Itoa(int(retryAfter/time.Second)))
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
