package audit

import (
	"github.com/samphirebeam/samphirebeam/resource"
)

// Result is the outcome of a change.
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
	// maxErrors is how many reasons a refused entry keeps, maxTextBytes the
	// maximum length of each text in it.
	maxErrors    = 8
	maxTextBytes = 256
	// maxObjects is how many objects a refused entry lists.
	maxObjects = 32
)

// Entry is the record of one accepted or refused change.
type Entry struct {
	// ID is unique: the generation of an accepted change, a UUID for a refused
	// one.
	ID     string `json:"id"`
	Result Result `json:"result"`
	// UnixMilli is the time of the change, Operator who requested it.
	UnixMilli int64  `json:"unix_ms"`
	Operator  string `json:"operator"`
	Operation string `json:"operation"`
	// Generation is the generation that an accepted change created.
	Generation uint64 `json:"generation,omitempty"`
	Override   bool   `json:"override,omitempty"`
	// Objects lists the objects with their versions before and after the change;
	// for a refused change the version after it is 0.
	Objects []resource.ObjectChange `json:"objects,omitempty"`
	// Kind and Errors give the reasons for a refusal.
	Kind   string             `json:"kind,omitempty"`
	Errors []resource.Refusal `json:"errors,omitempty"`
	// Omitted counts the objects and errors that truncate removed.
	Omitted int `json:"omitted,omitempty"`
}

// truncate bounds the size of a refused entry, since texts from operators may be
// long.
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
