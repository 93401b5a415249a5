package operator

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/samphirebeam/samphirebeam/audit"
	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/platform"
	"github.com/samphirebeam/samphirebeam/resource"
)

// apply changes several objects and reports on each. The status is 200 if none
// was refused, 207 if some were, and that of the first refusal if all were.
func (a *api) apply(w http.ResponseWriter, r *http.Request) {
	request, err := a.request(w, r)
	if err != nil {
		writeFailure(w, err)
		return
	}
	objects, err := decodeBody(w, r)
	if err == nil && len(objects) == 0 {
		err = core.Errorf(core.InvalidRequest, "the body holds no object")
	}
	if err != nil {
		a.recordFailure(request, err)
		writeFailure(w, withOperation(err, request.Operation))
		return
	}
	for _, o := range objects {
		e := resource.Edit{Object: o}
		if o.Version > 0 {
			e.Match = &o.Version
		}
		request.Edits = append(request.Edits, e)
	}
	a.answerChange(w, r, request)
}

func (a *api) put(w http.ResponseWriter, r *http.Request) {
	request, err := a.request(w, r)
	if err != nil {
		writeFailure(w, err)
		return
	}
	edit, err := a.putEdit(w, r)
	if err != nil {
		a.recordFailure(request, err)
		writeFailure(w, withOperation(err, request.Operation))
		return
	}
	request.Edits = []resource.Edit{edit}
	a.answerChange(w, r, request)
}

// putEdit reads the single object of a PUT. A version in the body is a condition
// like If-Match, which takes precedence.
func (a *api) putEdit(w http.ResponseWriter, r *http.Request) (resource.Edit, error) {
	objects, err := decodeBody(w, r)
	if err != nil {
		return resource.Edit{}, err
	}
	if len(objects) != 1 || objects[0].Ref() != objectRef(r) {
		return resource.Edit{}, core.Errorf(core.InvalidRequest, "the body must hold %s and nothing else", objectRef(r))
	}
	edit := resource.Edit{Object: objects[0]}
	if edit.Match, err = versionCondition(r); err != nil {
		return resource.Edit{}, err
	}
	if version := edit.Object.Version; edit.Match == nil && version > 0 {
		edit.Match = &version
	}
	return edit, nil
}

func (a *api) delete(w http.ResponseWriter, r *http.Request) {
	request, err := a.request(w, r)
	if err != nil {
		writeFailure(w, err)
		return
	}
	ref := objectRef(r)
	edit := resource.Edit{Object: resource.Object{Kind: ref.Kind, Name: ref.Name}, Delete: true}
	if edit.Match, err = versionCondition(r); err != nil {
		writeFailure(w, err)
		return
	}
	request.Edits = []resource.Edit{edit}
	a.answerChange(w, r, request)
}

// answerChange applies a change and answers with its report.
func (a *api) answerChange(w http.ResponseWriter, r *http.Request, request resource.Request) {
	report, err := a.change(r.Context(), request)
	if err != nil {
		a.recordFailure(request, err)
		writeFailure(w, withOperation(err, request.Operation))
		return
	}
	status := a.recordRefusals(request, report)
	w.Header().Set(HeaderOperation, report.Operation)
	w.Header().Set(HeaderGeneration, strconv.FormatUint(report.Generation, 10))
	if len(report.Objects) == 1 && report.Objects[0].Outcome != OutcomeRefused {
		w.Header().Set("ETag", platform.FormatVersion(report.Objects[0].Version))
	}
	writeJSON(w, status, report)
}

// recordRefusals records the refused objects of a report in the audit trail, and
// returns the HTTP status of the answer.
func (a *api) recordRefusals(request resource.Request, report *ChangeReport) int {
	var first string
	var reasons []resource.Refusal
	for _, o := range report.Objects {
		if o.Outcome != OutcomeRefused {
			continue
		}
		if first == "" {
			first = o.Kind
		}
		reasons = append(reasons, o.Errors...)
	}
	if first == "" {
		return http.StatusOK
	}
	a.recordRefused(request, first, reasons)
	if slices.ContainsFunc(report.Objects, func(o ObjectReport) bool { return o.Outcome != OutcomeRefused }) {
		return http.StatusMultiStatus
	}
	return statusOf(first)
}

func statusOf(kindName string) int {
	for _, kind := range core.Kinds() {
		if kind.String() == kindName {
			return core.AnswerTo(kind).Status
		}
	}
	return http.StatusInternalServerError
}

// recordFailure records a request that failed as a whole in the audit trail. This
// includes requests with an unknown outcome, which are marked by their kind.
func (a *api) recordFailure(request resource.Request, err error) {
	f := toFailure(err)
	reasons := f.refusals
	if len(reasons) == 0 {
		reasons = []resource.Refusal{{Reason: f.detail}}
	}
	a.recordRefused(request, f.kind.String(), reasons)
}

func (a *api) recordRefused(request resource.Request, kind string, reasons []resource.Refusal) {
	entry := audit.Entry{Operator: request.Operator, Operation: request.Operation, Override: request.Override, Kind: kind, Errors: reasons}
	inForce, err := a.inForce()
	if err != nil {
		inForce = &resource.Document{}
	}
	for _, e := range request.Edits {
		ref := e.Object.Ref()
		entry.Objects = append(entry.Objects, resource.ObjectChange{Ref: ref, From: versionOf(inForce, ref)})
	}
	a.config.Trail.Refused(entry)
}

func withOperation(err error, operation string) error {
	f := *toFailure(err)
	f.operation = operation
	return &f
}

// request reads the headers and query parameters of a change.
func (a *api) request(w http.ResponseWriter, r *http.Request) (resource.Request, error) {
	request := resource.Request{
		Operation: r.Header.Get(HeaderOperation),
		Operator:  r.Header.Get(HeaderOperator),
		Time:      a.config.Now(),
	}
	if request.Operation == "" {
		request.Operation = newOperation()
	}
	if request.Operator == "" {
		request.Operator = anonymous
	}
	for name, value := range map[string]string{HeaderOperation: request.Operation, HeaderOperator: request.Operator} {
		if len(value) > maxHeaderBytes {
			return request, core.Errorf(core.InvalidRequest, "%s is longer than %d bytes", name, maxHeaderBytes)
		}
	}
	w.Header().Set(HeaderOperation, request.Operation)
	if text := r.URL.Query().Get("override"); text != "" {
		override, err := strconv.ParseBool(text)
		if err != nil {
			return request, core.Errorf(core.InvalidRequest, "override is %q; must be true or false", text)
		}
		request.Override = override
	}
	return request, nil
}

func decodeBody(w http.ResponseWriter, r *http.Request) ([]resource.Object, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, resource.MaxTextSize))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, core.Errorf(core.TooLarge, "the body takes more than %d bytes", resource.MaxTextSize)
	}
	if err != nil {
		return nil, core.Errorf(core.InvalidRequest, "body: %v", err)
	}
	return resource.Decode(body)
}

// versionCondition returns the object version that If-Match requires, 0 for
// "If-None-Match: *", or nil if the request has no condition.
func versionCondition(r *http.Request) (*uint64, error) {
	if strings.TrimSpace(r.Header.Get("If-None-Match")) == "*" {
		return new(uint64), nil
	}
	text := r.Header.Get("If-Match")
	if text == "" {
		return nil, nil
	}
	version, err := platform.ParseVersion(text)
	if err != nil {
		return nil, core.Errorf(core.InvalidRequest, "If-Match: %v", err)
	}
	return &version, nil
}
