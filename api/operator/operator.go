package operator

import (
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"

	"github.com/samphirebeam/samphirebeam/audit"
	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/platform"
	"github.com/samphirebeam/samphirebeam/resource"
)

const (
	// DefaultTimeout ends a change that the platform does not settle.
	DefaultTimeout = 10 * time.Second
	// DefaultTries bounds the conditional writes of one change.
	DefaultTries = 16
	// maxHeader is the longest operation id or operator, in bytes.
	maxHeaderBytes = 128
	// anonymous is the operator of a request that does not say who sends it.
	anonymous = "anonymous"
)

// Config is what the API needs.
type Config struct {
	Store platform.Store
	// Trail takes note of each change; it is needed.
	Trail *audit.Trail
	// Accepted is called with each document that a change was accepted into,
	// and its platform version, before the operator gets the answer: the host
	// puts it in force and passes it on even if the platform goes away.
	Accepted func(document []byte, version uint64)
	// InForce returns the document that this host has in force, or nil when its
	// core does not answer.
	InForce func() *resource.Document
	// Status returns the state of the system as this host sees it.
	Status func() (Status, error)
	// Now is the clock; nil is time.Now.
	Now func() time.Time
	// Timeout ends a change; 0 is DefaultTimeout.
	Timeout time.Duration
	// Tries bounds the conditional writes of one change; 0 is DefaultTries.
	Tries int
}

type api struct{ config Config }

// New returns the handler of the paths below /v1: mount it there.
func New(config Config) http.Handler {
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.Timeout <= 0 {
		config.Timeout = DefaultTimeout
	}
	if config.Tries <= 0 {
		config.Tries = DefaultTries
	}
	a := &api{config}
	router := chi.NewRouter()
	router.Get("/objects", a.list)
	router.Get("/objects/{kind}", a.list)
	router.Get("/objects/{kind}/{name}", a.get)
	router.Put("/objects/{kind}/{name}", a.put)
	router.Delete("/objects/{kind}/{name}", a.delete)
	router.Post("/apply", a.apply)
	router.Get("/status", a.status)
	router.Get("/audit", a.audit)
	router.NotFound(func(w http.ResponseWriter, r *http.Request) {
		writeFailure(w, core.Errorf(core.UnknownName, "no such path: %s", r.URL.Path))
	})
	router.MethodNotAllowed(func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, http.StatusMethodNotAllowed, Failure{Kind: core.InvalidRequest.String(), Detail: "method " + r.Method})
	})
	return router
}

func newOperation() string { return uuid.NewString() }
