// Package platformstub serves the object API of the users' platform from
// memory. Tests and benchmarks switch on faults while it runs. It is a stand-in
// and no part of the product.
package platformstub

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/platform"
)

const (
	// maxWait bounds the wait of a watch.
	maxWait = 30 * time.Second
	// pageSize is the maximum number of objects in one page of a list.
	pageSize = 500
	// maxObjectBytes bounds a written object.
	maxObjectBytes = 1<<20 + 64
	// hostsKind is the kind of the entries of the host list, which may lag.
	hostsKind = "hosts"
	// hangTime is how long a call without an answer is kept open.
	hangTime = time.Minute
	// HostsPath accepts PUT requests that replace the whole host list.
	HostsPath = "/hosts"
)

// Stub is an http.Handler that simulates the platform.
type Stub struct {
	store *store
	mux   *http.ServeMux
	calls [callKinds]atomic.Uint64

	mu                sync.Mutex
	faults            faults
	hostsFirstWritten time.Time
}

type callKind int

const (
	callGet callKind = iota
	callPut
	callDelete
	callWatch
	callHosts
	callKinds
)

// Stats counts the calls since the start. A watch counts as one call.
type Stats struct {
	Get    uint64 `json:"get"`
	Put    uint64 `json:"put"`
	Delete uint64 `json:"delete"`
	Watch  uint64 `json:"watch"`
	Hosts  uint64 `json:"hosts"`
}

// Faults is the body of POST /faults. Durations are written as in "300ms". It
// replaces all faults: one that is left out ends.
type Faults struct {
	// Down breaks the connection of each call before it takes effect, waiting
	// watches included.
	Down bool `json:"down,omitempty"`
	// Silent accepts calls and answers none; they have no effect.
	Silent bool `json:"silent,omitempty"`
	// Busy answers each call with 503; it has no effect.
	Busy bool `json:"busy,omitempty"`
	// Delay is the wait before each call takes effect.
	Delay string `json:"delay,omitempty"`
	// LoseReplies is the number of next writes that take effect without a reply.
	LoseReplies int `json:"loseReplies,omitempty"`
	// StaleWatch makes each watch start from revision 0, so that it repeats
	// changes that its caller has already received.
	StaleWatch bool `json:"staleWatch,omitempty"`
	// ForgetWatches leaves watches without an answer.
	ForgetWatches bool `json:"forgetWatches,omitempty"`
	// HostListLag is the age of the host list that is served.
	HostListLag string `json:"hostListLag,omitempty"`
}

// faults is Faults with parsed durations.
type faults struct {
	Faults
	delay, lag time.Duration
}

// New returns an empty platform without faults.
func New() *Stub {
	s := &Stub{store: newStore(), mux: http.NewServeMux()}
	s.mux.HandleFunc("GET /objects/{kind}", s.list)
	s.mux.HandleFunc("GET /objects/{kind}/{name}", s.get)
	s.mux.HandleFunc("POST /objects/{kind}/{name}", func(w http.ResponseWriter, r *http.Request) { s.write(w, r, true) })
	s.mux.HandleFunc("PUT /objects/{kind}/{name}", func(w http.ResponseWriter, r *http.Request) { s.write(w, r, false) })
	s.mux.HandleFunc("PUT /objects/{kind}/{name}/status", s.writeStatus)
	s.mux.HandleFunc("DELETE /objects/{kind}/{name}", s.remove)
	s.mux.HandleFunc("PUT "+HostsPath, s.setHosts)
	s.mux.HandleFunc("POST /faults", s.setFaults)
	s.mux.HandleFunc("POST /compact", func(http.ResponseWriter, *http.Request) { s.store.compact() })
	s.mux.HandleFunc("GET /stats", s.stats)
	return s
}

// ServeHTTP serves the object API, the control of the faults and the counters.
func (s *Stub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Store-Era", strconv.FormatUint(s.store.currentEra(), 10))
	s.mux.ServeHTTP(w, r)
}

// Put creates or replaces an object without a call, so that no fault applies.
func (s *Stub) Put(kind, name string, spec any) error {
	encoded, err := json.Marshal(spec)
	if err != nil {
		return eris.Wrap(err, "spec")
	}
	object := platform.StoredObject{Meta: platform.Meta{Name: name}, Spec: encoded}
	if _, result := s.store.put(kind, object, false); result == missing {
		s.store.put(kind, object, true)
	}
	return nil
}

// Remove removes an object.
func (s *Stub) Remove(kind, name string) { s.store.remove(kind, name, 0) }

// Compact discards the history of changes, so that watches of old revisions
// fail.
func (s *Stub) Compact() { s.store.compact() }

// Restore goes back to a copy of the store that is as old as age. It begins a new
// era, in which the revisions since then are given out again.
func (s *Stub) Restore(age time.Duration) { s.store.restore(time.Now().Add(-age)) }

// SetFaults replaces the faults. It returns an error if a duration cannot be
// parsed.
func (s *Stub) SetFaults(f Faults) error {
	delay, delayErr := parseDuration(f.Delay)
	lag, lagErr := parseDuration(f.HostListLag)
	if err := errors.Join(delayErr, lagErr); err != nil {
		return err
	}
	s.mu.Lock()
	s.faults = faults{Faults: f, delay: delay, lag: lag}
	s.mu.Unlock()
	s.store.wakeWatches()
	return nil
}

func (s *Stub) currentFaults() faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Stats returns the number of calls so far.
func (s *Stub) Stats() Stats {
	return Stats{
		Get:    s.calls[callGet].Load(),
		Put:    s.calls[callPut].Load(),
		Delete: s.calls[callDelete].Load(),
		Watch:  s.calls[callWatch].Load(),
		Hosts:  s.calls[callHosts].Load(),
	}
}

// applyFaults counts a call and applies the faults that precede its effect.
// false means that the call must have no effect and needs no further answer.
func (s *Stub) applyFaults(w http.ResponseWriter, r *http.Request, kind callKind) bool {
	s.calls[kind].Add(1)
	f := s.currentFaults()
	if f.delay > 0 && !sleep(r, f.delay) {
		return false
	}
	f = s.currentFaults()
	switch {
	case f.Down:
		panic(http.ErrAbortHandler)
	case f.Silent:
		sleep(r, hangTime)
		panic(http.ErrAbortHandler)
	case f.Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	}
	return true
}

// sleep returns false if the caller closes the connection before d has passed.
func sleep(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}

// loseReply breaks the connection after a write if its reply is to be lost.
func (s *Stub) loseReply() {
	s.mu.Lock()
	lose := s.faults.LoseReplies > 0
	if lose {
		s.faults.LoseReplies--
	}
	s.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
}

func (s *Stub) list(w http.ResponseWriter, r *http.Request) {
	kind, query := r.PathValue("kind"), r.URL.Query()
	if query.Has("watch") {
		s.watch(w, r)
		return
	}
	call := callGet
	var lag time.Duration
	var earliest time.Time
	if kind == hostsKind {
		call = callHosts
		lag, earliest = s.hostsLag()
	}
	if !s.applyFaults(w, r, call) {
		return
	}
	items, revision := s.store.list(kind, query.Get("after"), lag, earliest)
	more := len(items) > pageSize
	if more {
		items = items[:pageSize]
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "store_revision": revision})
}

// hostsLag returns the age of the host list that is served, and when the list
// was first written.
func (s *Stub) hostsLag() (time.Duration, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.lag, s.hostsFirstWritten
}

func (s *Stub) watch(w http.ResponseWriter, r *http.Request) {
	kind, query := r.PathValue("kind"), r.URL.Query()
	after, err := strconv.ParseUint(query.Get("watch"), 10, 64)
	wait, waitErr := strconv.Atoi(query.Get("wait_ms"))
	if err = errors.Join(err, waitErr); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.applyFaults(w, r, callWatch) {
		return
	}
	if s.currentFaults().StaleWatch {
		after = 0
	}
	changes, revision, gone := s.store.watch(r.Context(), kind, after, min(maxWait, time.Duration(wait)*time.Millisecond), s.interruptsWatches)
	f := s.currentFaults()
	switch {
	case f.Down:
		panic(http.ErrAbortHandler)
	case f.ForgetWatches || f.Silent:
		sleep(r, hangTime)
		panic(http.ErrAbortHandler)
	case gone:
		w.WriteHeader(http.StatusGone)
	default:
		reply(w, http.StatusOK, map[string]any{"events": changes, "store_revision": revision})
	}
}

func (s *Stub) interruptsWatches() bool {
	f := s.currentFaults()
	return f.Down || f.Silent || f.ForgetWatches
}

func (s *Stub) get(w http.ResponseWriter, r *http.Request) {
	if !s.applyFaults(w, r, callGet) {
		return
	}
	o, found := s.store.get(r.PathValue("kind"), r.PathValue("name"))
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, o)
}

func (s *Stub) write(w http.ResponseWriter, r *http.Request, create bool) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObjectBytes+(64<<10)))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	var o platform.StoredObject
	if err := json.Unmarshal(data, &o); err != nil || o.Meta.Name != r.PathValue("name") {
		http.Error(w, "not an object of this name", http.StatusBadRequest)
		return
	}
	if len(o.Spec) > maxObjectBytes {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	if !s.applyFaults(w, r, callPut) {
		return
	}
	stored, result := s.store.put(r.PathValue("kind"), o, create)
	s.writeOutcome(w, stored, result)
}

func (s *Stub) writeStatus(w http.ResponseWriter, r *http.Request) {
	var o platform.StoredObject
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxObjectBytes)).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.applyFaults(w, r, callPut) {
		return
	}
	stored, result := s.store.putStatus(r.PathValue("kind"), r.PathValue("name"), o)
	s.writeOutcome(w, stored, result)
}

// Get returns an object without a call; false if there is none.
func (s *Stub) Get(kind, name string) (platform.StoredObject, bool) { return s.store.get(kind, name) }

func (s *Stub) remove(w http.ResponseWriter, r *http.Request) {
	revision, err := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	if err != nil && r.URL.Query().Has("revision") {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.applyFaults(w, r, callDelete) {
		return
	}
	stored, result := s.store.remove(r.PathValue("kind"), r.PathValue("name"), revision)
	s.writeOutcome(w, stored, result)
}

// writeOutcome sends the reply to a write or a removal.
func (s *Stub) writeOutcome(w http.ResponseWriter, stored platform.StoredObject, result outcome) {
	switch result {
	case missing:
		w.WriteHeader(http.StatusNotFound)
	case conflict:
		reply(w, http.StatusConflict, stored)
	default:
		s.loseReply()
		reply(w, http.StatusOK, stored)
	}
}

func (s *Stub) setHosts(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObjectBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	hosts, err := platform.DecodeHosts(data)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := s.SetHosts(hosts); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// SetHosts replaces the host list.
func (s *Stub) SetHosts(hosts []core.HostInfo) error {
	listed := map[string]bool{}
	for _, h := range hosts {
		spec, err := platform.EncodeHost(h)
		if err != nil {
			return err
		}
		listed[string(h.Host)] = true
		if err := s.Put(hostsKind, string(h.Host), json.RawMessage(spec)); err != nil {
			return err
		}
	}
	s.mu.Lock()
	if s.hostsFirstWritten.IsZero() {
		s.hostsFirstWritten = time.Now()
	}
	s.mu.Unlock()
	items, _ := s.store.list(hostsKind, "", 0, time.Time{})
	for _, item := range items {
		if !listed[item.Meta.Name] {
			s.store.remove(hostsKind, item.Meta.Name, 0)
		}
	}
	return nil
}

func (s *Stub) setFaults(w http.ResponseWriter, r *http.Request) {
	var body Faults
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxObjectBytes))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&body)
	if err == nil {
		err = s.SetFaults(body)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func parseDuration(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	return time.ParseDuration(text)
}

func (s *Stub) stats(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, s.Stats()) }

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller may have closed the connection
}
