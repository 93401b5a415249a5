package ctl

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/samphirebeam/samphirebeam/api/operator"
	"github.com/samphirebeam/samphirebeam/platform"
	"github.com/samphirebeam/samphirebeam/resource"
)

// changeFlags are the flags of the commands that change objects.
type changeFlags struct {
	override    bool
	operation   string
	wait        bool
	waitTimeout time.Duration
}

func (f *changeFlags) register(fs *flag.FlagSet) {
	fs.BoolVar(&f.override, "override", false, "accept what leaves a scope below its declared reach")
	fs.StringVar(&f.operation, "operation", "", "operation id; the same one sent again is accepted once (default: a new one)")
	fs.BoolVar(&f.wait, "wait", false, "wait until the change is in force on every host")
	fs.DurationVar(&f.waitTimeout, "wait-timeout", defaultWaitTimeout, "longest wait with --wait")
}

// fileNames is a flag value that can be given several times.
type fileNames []string

// String returns the names, separated by commas.
func (f *fileNames) String() string { return strings.Join(*f, ",") }

// Set appends a name.
func (f *fileNames) Set(name string) error {
	*f = append(*f, name)
	return nil
}

func (a *app) applyCommand() *ffcli.Command {
	fs := a.commonFlags("apply")
	var change changeFlags
	var names fileNames
	change.register(fs)
	fs.Var(&names, "f", "file of objects, YAML or JSON, or - for the standard input; may be given again")
	return a.completeCommand(&ffcli.Command{
		Name:       "apply",
		ShortUsage: "samphirectl apply -f FILE [-f FILE] [flags]",
		ShortHelp:  "writes the objects of a file and says which were accepted",
		LongHelp: `Objects that are refused do not hold up the others; a file that cannot be read
whole is refused whole. An object with a version is written only if it still
has that version.

EXAMPLES
  samphirectl apply -f services.yaml --wait
  samphirectl get -o yaml | samphirectl apply -f -`,
		FlagSet: fs,
	}, func(ctx context.Context, args []string) error {
		if len(args) > 0 || len(names) == 0 {
			return usageErrorf("apply: want -f FILE and no arguments")
		}
		body, err := a.readFiles(names)
		if err != nil {
			return err
		}
		return a.change(ctx, change, request{method: http.MethodPost, path: "/v1/apply", body: body})
	})
}

// readFiles decodes each file and joins their objects into one JSON array.
// Decoding each file here lets an error name the file and the line in it.
func (a *app) readFiles(names fileNames) ([]byte, error) {
	var all []json.RawMessage
	for _, name := range names {
		text, err := a.readFile(name)
		if err != nil {
			return nil, usageErrorf("%v", err)
		}
		objects, err := resource.Decode(text)
		if err != nil {
			return nil, usageErrorf("%s: %v", name, err)
		}
		for i := range objects {
			encoded, err := json.Marshal(objects[i])
			if err != nil {
				return nil, usageErrorf("%s: %v", name, err)
			}
			all = append(all, encoded)
		}
	}
	return json.Marshal(all)
}

func (a *app) readFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(a.io.In)
	}
	return os.ReadFile(name)
}

func (a *app) deleteCommand() *ffcli.Command {
	fs := a.commonFlags("delete")
	var change changeFlags
	var version uint64
	change.register(fs)
	fs.Uint64Var(&version, "version", 0, "delete only if the object has this version")
	return a.completeCommand(&ffcli.Command{
		Name:       "delete",
		ShortUsage: "samphirectl delete KIND NAME [flags]",
		ShortHelp:  "deletes an object that no other names",
		LongHelp:   "EXAMPLES\n  samphirectl delete upstream photo-3-b --wait",
		FlagSet:    fs,
	}, func(ctx context.Context, args []string) error {
		ref, err := parseRef(args)
		if err != nil {
			return err
		}
		r := request{method: http.MethodDelete, path: objectPath(ref), header: http.Header{}}
		if version > 0 {
			r.header.Set("If-Match", platform.FormatVersion(version))
		}
		return a.change(ctx, change, r)
	})
}

// change sends a change, prints its report and, with --wait, waits until the
// change is in force.
func (a *app) change(ctx context.Context, flags changeFlags, r request) error {
	c, err := a.client()
	if err != nil {
		return err
	}
	if flags.operation == "" {
		flags.operation = uuid.NewString()
	}
	if r.header == nil {
		r.header = http.Header{}
	}
	r.header.Set(operator.HeaderOperation, flags.operation)
	r.header.Set(operator.HeaderOperator, a.user)
	r.path += "?override=" + strconv.FormatBool(flags.override)
	answer, err := c.do(ctx, r)
	report, isReport := parseReport(answer)
	if !isReport {
		return a.withOperationID(err, flags.operation)
	}
	if err := a.printReport(report); err != nil {
		return err
	}
	if failed := reportError(report); failed != nil {
		return failed
	}
	if !flags.wait {
		return nil
	}
	return a.waitInForce(ctx, c, report.Generation, flags.waitTimeout)
}

// parseReport decodes the report in a reply. It returns false if there is none,
// as when the whole request failed.
func parseReport(answer *reply) (*operator.ChangeReport, bool) {
	if answer == nil {
		return nil, false
	}
	var report operator.ChangeReport
	err := json.Unmarshal(answer.body, &report)
	return &report, err == nil && len(report.Objects) > 0
}

// withOperationID adds the operation id to an error after which the change may
// be sent again under the same id.
func (a *app) withOperationID(err error, operation string) error {
	code := exitCodeOf(err)
	if code != ExitUnknown && code != ExitUnavailable {
		return err
	}
	return &exitError{code, fmt.Sprintf("%v\n  operation id %s", err, operation)}
}

func (a *app) printReport(report *operator.ChangeReport) error {
	if a.output != formatTable {
		return writeValue(a.io.Out, a.output, report)
	}
	t := newTable(a.io.Out, "OBJECT", "OUTCOME", "VERSION", "REASON")
	for _, o := range report.Objects {
		t.row(o.Object, string(o.Outcome), formatVersion(o.Version), formatReasons(o.Errors))
	}
	return t.flush()
}

// formatReasons joins the refusals of one object. The object's name is left
// out, since another column of the row shows it.
func formatReasons(refusals []resource.Refusal) string {
	if len(refusals) == 0 {
		return "-"
	}
	reasons := make([]string, len(refusals))
	for i, r := range refusals {
		r.Object = ""
		reasons[i] = r.String()
	}
	return strings.Join(reasons, "; ")
}

func formatVersion(version uint64) string {
	if version == 0 {
		return "-"
	}
	return strconv.FormatUint(version, 10)
}

// reportError returns an error with the exit code of a report, or nil if
// nothing was refused.
func reportError(report *operator.ChangeReport) error {
	refused, kind := 0, ""
	for _, o := range report.Objects {
		if o.Outcome == operator.OutcomeRefused {
			refused++
			if kind == "" {
				kind = o.Kind
			}
		}
	}
	switch refused {
	case 0:
		return nil
	case len(report.Objects):
		return &exitError{exitCodeForKind(kind), ""}
	default:
		return &exitError{ExitPartiallyAccepted, ""}
	}
}
