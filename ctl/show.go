package ctl

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/samphirebeam/samphirebeam/api/operator"
	"github.com/samphirebeam/samphirebeam/audit"
	"github.com/samphirebeam/samphirebeam/resource"
)

func (a *app) getCommand() *ffcli.Command {
	return a.completeCommand(&ffcli.Command{
		Name:       "get",
		ShortUsage: "samphirectl get [KIND [NAME]] [flags]",
		ShortHelp:  "shows objects",
		LongHelp: `With -o yaml the output can be applied again.

EXAMPLES
  samphirectl get
  samphirectl get upstreams
  samphirectl get scope full-register -o yaml`,
		FlagSet: a.commonFlags("get"),
	}, a.get)
}

func (a *app) get(ctx context.Context, args []string) error {
	if len(args) > 2 {
		return usageErrorf("get: want at most a kind and a name")
	}
	objects, err := a.objects(ctx, args)
	if err != nil {
		return err
	}
	switch a.output {
	case formatJSON:
		return writeValue(a.io.Out, a.output, objects)
	case formatYAML:
		return writeDocuments(a.io.Out, objects)
	default:
		return a.printObjects(objects)
	}
}

// objects requests all objects, the objects of one kind, or a single object,
// depending on the arguments.
func (a *app) objects(ctx context.Context, args []string) ([]resource.Object, error) {
	c, err := a.client()
	if err != nil {
		return nil, err
	}
	if len(args) == 2 {
		ref, err := parseRef(args)
		if err != nil {
			return nil, err
		}
		var o resource.Object
		err = c.get(ctx, objectPath(ref), &o)
		return []resource.Object{o}, err
	}
	path := "/v1/objects"
	if len(args) == 1 {
		kind, err := parseKind(args[0])
		if err != nil {
			return nil, err
		}
		path += "/" + string(kind)
	}
	var list operator.ObjectList
	err = c.get(ctx, path, &list)
	return list.Objects, err
}

func writeDocuments(w io.Writer, objects []resource.Object) error {
	for i := range objects {
		if i > 0 {
			_, _ = fmt.Fprintln(w, "---")
		}
		if err := writeValue(w, formatYAML, objects[i]); err != nil {
			return err
		}
	}
	return nil
}

func (a *app) printObjects(objects []resource.Object) error {
	t := newTable(a.io.Out, "KIND", "NAME", "VERSION", "IN FORCE", "SUMMARY")
	for i := range objects {
		o := &objects[i]
		t.row(string(o.Kind), o.Name, formatVersion(o.Version), formatInForce(o.Status), summarizeSpec(o.Spec))
	}
	return t.flush()
}

func formatInForce(s *resource.Status) string {
	if s == nil || s.Hosts == 0 {
		return "?"
	}
	return fmt.Sprintf("%d/%d", s.HostsInForce, s.Hosts)
}

// summarizeSpec describes a spec in one line.
func summarizeSpec(spec resource.Spec) string {
	switch s := spec.(type) {
	case *resource.FailureDomainSpec:
		return string(s.State)
	case *resource.UpstreamSpec:
		return fmt.Sprintf("%s, %s, %s in %s, %d slots, %d connections", s.State, s.Address, s.Service, s.FailureDomain, s.Slots, s.Connections)
	case *resource.ServiceSpec:
		versions := make([]string, len(s.Versions))
		for i, v := range s.Versions {
			versions[i] = strconv.FormatUint(v.Version, 10)
		}
		if len(versions) == 0 {
			return "plain calls"
		}
		return "index versions " + strings.Join(versions, ", ")
	case *resource.ScopeSpec:
		return fmt.Sprintf("%d services, reach %v, below it %s", len(s.Services), s.Reach, s.BelowReach)
	default:
		return ""
	}
}

func (a *app) describeCommand() *ffcli.Command {
	return a.completeCommand(&ffcli.Command{
		Name:       "describe",
		ShortUsage: "samphirectl describe KIND NAME [flags]",
		ShortHelp:  "shows one object and who changed it in the last day",
		LongHelp:   "EXAMPLES\n  samphirectl describe domain kigali-2",
		FlagSet:    a.commonFlags("describe"),
	}, a.describe)
}

// Limits of the audit entries that describe searches for changes of its object.
const (
	describeMaxEntries = 1000
	describeWindow     = 24 * time.Hour
)

// description is the output of describe: an object and its last changes,
// newest first.
type description struct {
	Object  resource.Object `json:"object"`
	Changes []audit.Entry   `json:"changes"`
}

func (a *app) describe(ctx context.Context, args []string) error {
	ref, err := parseRef(args)
	if err != nil {
		return err
	}
	objects, err := a.objects(ctx, args)
	if err != nil {
		return err
	}
	d := description{Object: objects[0]}
	if page, err := a.readAudit(ctx, describeMaxEntries, describeWindow); err != nil {
		_, _ = fmt.Fprintln(a.io.Err, "changes not shown: "+err.Error())
	} else {
		d.Changes = changesTo(page, ref)
	}
	if a.output != formatTable {
		return writeValue(a.io.Out, a.output, d)
	}
	if err := writeDocuments(a.io.Out, objects); err != nil {
		return err
	}
	a.printf("\n")
	return a.printAuditEntries(d.Changes)
}

func changesTo(page audit.Page, ref resource.Ref) []audit.Entry {
	return slices.DeleteFunc(page.Entries, func(e audit.Entry) bool {
		return !slices.ContainsFunc(e.Objects, func(o resource.ObjectChange) bool { return o.Ref == ref })
	})
}

func (a *app) auditCommand() *ffcli.Command {
	fs := a.commonFlags("audit")
	limit := fs.Int("limit", 50, "most entries")
	since := fs.Duration("since", 24*time.Hour, "how far back, at most 168h")
	return a.completeCommand(&ffcli.Command{
		Name:       "audit",
		ShortUsage: "samphirectl audit [flags]",
		ShortHelp:  "shows accepted and refused changes, newest first",
		LongHelp:   "EXAMPLES\n  samphirectl audit --since 1h\n  samphirectl audit -o json",
		FlagSet:    fs,
	}, func(ctx context.Context, args []string) error {
		if len(args) > 0 {
			return usageErrorf("audit: want no arguments")
		}
		page, err := a.readAudit(ctx, *limit, *since)
		if err != nil {
			return err
		}
		if a.output != formatTable {
			return writeValue(a.io.Out, a.output, page)
		}
		return a.printAuditEntries(page.Entries)
	})
}

func (a *app) readAudit(ctx context.Context, limit int, since time.Duration) (audit.Page, error) {
	c, err := a.client()
	if err != nil {
		return audit.Page{}, err
	}
	var page audit.Page
	query := url.Values{"limit": {strconv.Itoa(limit)}, "since": {since.String()}}
	err = c.get(ctx, "/v1/audit?"+query.Encode(), &page)
	return page, err
}

func (a *app) printAuditEntries(entries []audit.Entry) error {
	t := newTable(a.io.Out, "TIME", "WHO", "RESULT", "OPERATION", "OBJECTS", "REASON")
	for _, e := range entries {
		when := time.UnixMilli(e.UnixMilli).UTC().Format(time.RFC3339)
		t.row(when, e.Operator, string(e.Result), e.Operation, formatChanges(e), formatReason(e))
	}
	return t.flush()
}

// formatChanges lists the first few changed objects with their versions before
// and after the change.
func formatChanges(e audit.Entry) string {
	const maxShown = 3
	var parts []string
	for _, o := range e.Objects[:min(len(e.Objects), maxShown)] {
		parts = append(parts, fmt.Sprintf("%s %s>%s", o.Ref, formatVersion(o.From), formatVersion(o.To)))
	}
	if more := len(e.Objects) - maxShown; more > 0 {
		parts = append(parts, fmt.Sprintf("and %d more", more))
	}
	return strings.Join(parts, ", ")
}

func formatReason(e audit.Entry) string {
	if e.Result == audit.Accepted {
		return "-"
	}
	if len(e.Errors) == 0 {
		return e.Kind
	}
	return e.Kind + ": " + e.Errors[0].String()
}
