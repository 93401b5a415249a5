package operator

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/samphirebeam/samphirebeam/audit"
	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/platform"
	"github.com/samphirebeam/samphirebeam/resource"
)

// storedConfig is the configuration document as the platform holds it, with its
// platform version.
type storedConfig struct {
	doc     *resource.Document
	encoded []byte
	version uint64
}

// load reads the document from the platform. If the platform holds none, it
// returns the empty document at version 0.
func (a *api) load(ctx context.Context) (storedConfig, error) {
	inForce, err := a.inForce()
	if err != nil {
		return storedConfig{}, err
	}
	o, err := a.config.Store.Get(ctx, core.ConfigKey)
	s := storedConfig{doc: &resource.Document{}, encoded: o.Value, version: o.Version}
	if err != nil && platform.KindOf(err) != core.UnknownName {
		return s, err
	}
	if err == nil {
		if s.doc, err = resource.DecodeDocument(o.Value); err != nil {
			return s, core.Errorf(core.Internal, "the platform holds a configuration that is not valid: %v", err)
		}
	}
	// A stale copy must be neither returned nor changed: a document built on it
	// would reuse a generation that hosts already have with other contents.
	if s.doc.Generation < inForce.Generation {
		return s, core.Errorf(core.PlatformUnavailable, "the platform answered with generation %d, this host has %d in force", s.doc.Generation, inForce.Generation)
	}
	return s, nil
}

// inForce returns the document that this host has in force, or the error Stopping
// if the host's core no longer answers.
func (a *api) inForce() (*resource.Document, error) {
	doc := a.config.InForce()
	if doc == nil {
		return nil, core.Errorf(core.Stopping, "this host is stopping")
	}
	return doc, nil
}

// read returns the platform's document or, while the platform is unavailable, the
// one that this host has in force. It sets the answer's headers for source and
// generation.
func (a *api) read(w http.ResponseWriter, r *http.Request) (*resource.Document, error) {
	ctx, cancel := context.WithTimeout(r.Context(), a.config.Timeout)
	defer cancel()
	source := "platform"
	s, err := a.load(ctx)
	doc := s.doc
	if kindOf(err) == core.PlatformUnavailable {
		if own, ownErr := a.inForce(); ownErr == nil && own.Generation > 0 {
			doc, err, source = own, nil, "host"
		}
	}
	if err != nil {
		return nil, err
	}
	w.Header().Set(HeaderSource, source)
	w.Header().Set(HeaderGeneration, strconv.FormatUint(doc.Generation, 10))
	return doc, nil
}

func (a *api) list(w http.ResponseWriter, r *http.Request) {
	kind := resource.Kind(chi.URLParam(r, "kind"))
	if kind != "" && !slices.Contains(resource.Kinds(), kind) {
		writeFailure(w, core.Errorf(core.UnknownName, "kind %q; the kinds are %v", kind, resource.Kinds()))
		return
	}
	doc, err := a.read(w, r)
	if err != nil {
		writeFailure(w, err)
		return
	}
	list := ObjectList{Generation: doc.Generation, Objects: []resource.Object{}}
	generations := a.generations()
	for i := range doc.Objects {
		if kind == "" || doc.Objects[i].Kind == kind {
			list.Objects = append(list.Objects, withStatus(doc.Objects[i], generations))
		}
	}
	writeJSON(w, http.StatusOK, list)
}

func (a *api) get(w http.ResponseWriter, r *http.Request) {
	doc, err := a.read(w, r)
	if err != nil {
		writeFailure(w, err)
		return
	}
	ref := objectRef(r)
	o := doc.Find(ref)
	if o == nil {
		writeFailure(w, core.Errorf(core.UnknownName, "%s does not exist", ref))
		return
	}
	w.Header().Set("ETag", platform.FormatVersion(o.Version))
	writeJSON(w, http.StatusOK, withStatus(*o, a.generations()))
}

func objectRef(r *http.Request) resource.Ref {
	return resource.Ref{Kind: resource.Kind(chi.URLParam(r, "kind")), Name: chi.URLParam(r, "name")}
}

// generations returns the generation in force on each live host.
func (a *api) generations() []uint64 {
	status, err := a.config.Status()
	if err != nil {
		return nil
	}
	var generations []uint64
	for _, h := range status.Hosts {
		if h.State == HostAlive {
			generations = append(generations, h.Generation)
		}
	}
	return generations
}

// HostAlive is the state of a live host; only live hosts count in an object's
// status.
const HostAlive = "alive"

// withStatus returns the object with its status, computed from the generations in
// force on live hosts.
func withStatus(o resource.Object, generations []uint64) resource.Object {
	status := &resource.Status{Hosts: len(generations)}
	for _, generation := range generations {
		if generation >= o.Version {
			status.HostsInForce++
		}
	}
	status.InForce = status.Hosts > 0 && status.HostsInForce == status.Hosts
	o.Status = status
	return o
}

func (a *api) status(w http.ResponseWriter, _ *http.Request) {
	status, err := a.config.Status()
	if err != nil {
		writeFailure(w, err)
		return
	}
	for _, h := range status.Hosts {
		status.Generation = max(status.Generation, h.Generation)
	}
	for i := range status.Hosts {
		h := &status.Hosts[i]
		h.Lags = h.State == HostAlive && h.Generation < status.Generation
	}
	writeJSON(w, http.StatusOK, status)
}

func (a *api) audit(w http.ResponseWriter, r *http.Request) {
	filter, err := a.filter(r)
	if err != nil {
		writeFailure(w, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), a.config.Timeout)
	defer cancel()
	s, err := a.load(ctx)
	if err != nil {
		writeFailure(w, err)
		return
	}
	page, err := a.config.Trail.Read(ctx, s.doc, filter)
	if err != nil {
		writeFailure(w, err)
		return
	}
	if page.Entries == nil {
		page.Entries = []audit.Entry{}
	}
	writeJSON(w, http.StatusOK, page)
}

// filter reads the query parameters limit and since, which default to 100 entries
// and one day.
func (a *api) filter(r *http.Request) (audit.Filter, error) {
	filter := audit.Filter{Limit: 100}
	query := r.URL.Query()
	if text := query.Get("limit"); text != "" {
		limit, err := strconv.Atoi(text)
		if err != nil || limit < 1 || limit > audit.MaxEntries {
			return filter, core.Errorf(core.InvalidRequest, "limit %q; must be 1 to %d", text, audit.MaxEntries)
		}
		filter.Limit = limit
	}
	age := 24 * time.Hour
	if text := query.Get("since"); text != "" {
		var err error
		if age, err = time.ParseDuration(text); err != nil || age <= 0 || age > audit.MaxAge {
			return filter, core.Errorf(core.InvalidRequest, "since %q; must be a time up to %v, such as 24h", text, audit.MaxAge)
		}
	}
	filter.Since = a.config.Now().Add(-age)
	return filter, nil
}
