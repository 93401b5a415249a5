package resource

import (
	"fmt"
	"strings"

	"github.com/samphirebeam/samphirebeam/core"
)

// Refusal is one reason why a change is refused.
type Refusal struct {
	// Object is "kind/name"; empty if the refusal is about the whole text or
	// document.
	Object string `json:"object" yaml:"object"`
	// Field is the path of the field, such as "spec.versions[0].ranges[1].to".
	Field  string `json:"field" yaml:"field"`
	Reason string `json:"reason" yaml:"reason"`
	// Line is the line number in the decoded text, or 0 if there is none.
	Line int `json:"line,omitempty" yaml:"line,omitempty"`
}

// String returns the refusal on one line.
func (r Refusal) String() string {
	var b strings.Builder
	if r.Line > 0 {
		fmt.Fprintf(&b, "line %d: ", r.Line)
	}
	for _, part := range []string{r.Object, r.Field} {
		if part != "" {
			b.WriteString(part + ": ")
		}
	}
	b.WriteString(r.Reason)
	return b.String()
}

// Refused is the error for a change that is not accepted; it lists every reason.
type Refused struct {
	// Kind is InvalidRequest, Conflict (an object does not have the required
	// version), UnknownName (an object to delete does not exist) or TooLarge.
	Kind     core.Kind
	Refusals []Refusal
}

// Error returns the kind and all reasons.
func (r *Refused) Error() string { return r.Kind.String() + ": " + r.Reasons() }

// Reasons returns all reasons on one line.
func (r *Refused) Reasons() string {
	reasons := make([]string, len(r.Refusals))
	for i, refusal := range r.Refusals {
		reasons[i] = refusal.String()
	}
	return strings.Join(reasons, "; ")
}

// refusals collects the reasons found during validation.
type refusals struct{ list []Refusal }

func (r *refusals) add(ref Ref, field, format string, args ...any) {
	r.list = append(r.list, Refusal{Object: ref.String(), Field: field, Reason: fmt.Sprintf(format, args...)})
}

// err returns the collected reasons as an error, or nil when there are none.
func (r *refusals) err(kind core.Kind) error {
	if len(r.list) == 0 {
		return nil
	}
	return &Refused{Kind: kind, Refusals: r.list}
}
