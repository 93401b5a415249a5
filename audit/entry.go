package audit

import (
	"github.com/samphirebeam/samphirebeam/resource"
)

// Result says what became of a change.
type Result string

// The results.
const (
	Accepted Result = "accepted"
	Refused  Result = "refused"
)

// The topics of the event bus.
const (
	TopicAccepted = "configuration.accepted"
	TopicRefused  = "configuration.refused"
)

const (
	// maxErrors is how many reasons a refused entry keeps, maxText the most
	// bytes of each.
	maxErrors = 8
	maxTextBytes   = 256
	// maxObjects is how many objects a refused entry names.
	maxObjects = 32
)

// Entry is one line of the trail.
type Entry struct {
	// ID is unique; that of an accepted change is its generation.
	ID     string `json:"id"`
	Result Result `json:"result"`
	// UnixMilli is when, Operator who.
	UnixMilli int64  `json:"unix_ms"`
	Operator  string `json:"operator"`
	Operation string `json:"operation"`
	// Generation is the one that an accepted change made.
	Generation uint64 `json:"generation,omitempty"`
	Override   bool   `json:"override,omitempty"`
	// Objects holds from which version to which; a refused change goes to 0.
	Objects []resource.ObjectChange `json:"objects,omitempty"`
	// Kind and Errors say why a change was refused.
	Kind   string             `json:"kind,omitempty"`
	Errors []resource.Refusal `json:"errors,omitempty"`
	// Omitted counts the objects and errors that were left out.
	Omitted int `json:"omitted,omitempty"`
}

// clip bounds a refused entry: operators' texts may be long.
func (e *Entry) truncate() {
	e.Omitted = max(0, len(e.Objects)-maxObjects) + max(0, len(e.Errors)-maxErrors)
	e.Objects = e.Objects[:min(len(e.Objects), maxObjects)]
	errors := make([]resource.Refusal, min(len(e.Errors), maxErrors))
	for i := range errors {
		errors[i] = e.Errors[i]
		errors[i].Object = truncateText(errors[i].Object)
		errors[i].Field = truncateText(errors[i].Field)
		errors[i].Reason = truncateText(errors[i].Reason)
	}
	e.Errors = errors
	e.Operator = truncateText(e.Operator)
	e.Operation = truncateText(e.Operation)
}

func truncateText(text string) string { return text[:min(len(text), maxTextBytes)] }
