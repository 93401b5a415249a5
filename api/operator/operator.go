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
	// DefaultTimeout bounds the time of one change, with all attempts.
	DefaultTimeout = 10 * time.Second
	// DefaultTries is the maximum number of attempts per change.
	DefaultTries = 16
	// maxHeaderBytes is the maximum length of an operation id or operator.
	maxHeaderBytes = 128
	// anonymous is the operator of a request without HeaderOperator.
	anonymous = "anonymous"
)

// Config configures the API.
type Config struct {
	Store platform.Store
	// Trail records each change; it is required.
	Trail *audit.Trail
	// Accepted is called with each document that a change was accepted into, and
	// its platform version, before the operator receives the answer. The host can
	// then apply the document and distribute it even if the platform becomes
	// unavailable.
	Accepted func(document []byte, version uint64)
	// InForce returns the document that this host has in force, or nil if its
	// decision core does not answer.
	InForce func() *resource.Document
	// Status returns the state of the system as seen by this host.
	Status func() (Status, error)
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Timeout bounds the time of one change; 0 means DefaultTimeout.
	Timeout time.Duration
	// Tries is the maximum number of attempts per change; 0 means DefaultTries.
	Tries int
}

type api struct{ config Config }

// New returns the handler of the API; its paths are relative to /v1, where it must
// be mounted.
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
