package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"
)

// lateReplyWindow is how long after a request's deadline its answer is still
// awaited.
const lateReplyWindow = 2 * time.Second

// Engine sends the workloads of a scenario to the hosts in an open loop: each
// request is sent at its intended time, whether or not earlier requests have
// been answered.
type Engine struct {
	Scenario *Scenario
	// BaseURLs are the base URLs of the hosts' caller APIs.
	BaseURLs []string
	Client   *Client
	Recorder *Recorder
}

// Run sends load from start to end and waits until no request is in flight.
func (e *Engine) Run(ctx context.Context, start, end time.Time) {
	var streams sync.WaitGroup
	for i, workload := range e.Scenario.Workloads {
		streams.Add(1)
		go func() {
			defer streams.Done()
			e.sendWorkload(ctx, workload, uint64(i), start, end)
		}()
	}
	streams.Wait()
}

// sendWorkload sends the requests of one workload. The gaps between intended
// times are exponentially distributed, as in a Poisson process.
func (e *Engine) sendWorkload(ctx context.Context, w Workload, workloadIndex uint64, start, end time.Time) {
	rng := rand.New(rand.NewPCG(e.Scenario.Seed, workloadIndex))
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	intended := start
	for sequence := 0; ; sequence++ {
		gap := rng.ExpFloat64() / w.RatePerSecond
		intended = intended.Add(time.Duration(gap * float64(time.Second)))
		if intended.After(end) || ctx.Err() != nil {
			return
		}
		path, body := e.nextRequest(w, sequence, rng)
		base := e.BaseURLs[rng.IntN(len(e.BaseURLs))]
		time.Sleep(time.Until(intended))
		inFlight.Add(1)
		go func(intended time.Time) {
			defer inFlight.Done()
			e.send(ctx, w, intended, base, path, body)
		}(intended)
	}
}

func (e *Engine) send(ctx context.Context, w Workload, intended time.Time, base, path string, body requestBody) {
	bounded, cancel := context.WithDeadline(ctx, intended.Add(w.Deadline+lateReplyWindow))
	defer cancel()
	outcome := e.Client.Do(bounded, base, path, body)
	outcome.Intended = intended
	outcome.Search = w.Scope != ""
	e.Recorder.Record(outcome)
}

// nextRequest returns the path and the body of a workload's next request.
func (e *Engine) nextRequest(w Workload, sequence int, rng *rand.Rand) (string, requestBody) {
	question := strconv.Itoa(sequence)
	if w.Distinct > 0 {
		question = strconv.Itoa(rng.IntN(w.Distinct))
	}
	body := requestBody{
		RequestID:  uuid.Must(uuid.NewV7()).String(),
		DeadlineMs: w.Deadline.Milliseconds(),
		Priority:   w.Priority,
	}
	if w.Scope != "" {
		body.Scope = w.Scope
		body.Question = question
		body.Limit = w.Limit
		return "/v1/query", body
	}
	repeatable := !w.Once
	body.Repeatable = &repeatable
	body.Service = e.pickService(w.ServicePrefix, rng)
	body.Payload = question
	return "/v1/call", body
}

func (e *Engine) pickService(prefix string, rng *rand.Rand) string {
	for _, g := range e.Scenario.Services {
		if g.Prefix == prefix {
			return ServiceName(prefix, rng.IntN(g.Count)+1)
		}
	}
	return prefix
}

// ServiceName returns the name of a service in a group; numbers start at 1.
func ServiceName(prefix string, number int) string {
	return fmt.Sprintf("%s-%02d", prefix, number)
}
