package upstreamstub

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxQuestionBytes bounds a question; the rest is cut off.
const maxQuestionBytes = 4 << 20

// call is one request in flight.
type call struct {
	attempt, query string
	question       []byte
	version        uint64 // 0 for a plain call
	limit          int
	deadline       time.Time // zero if there is none
	startBy        time.Time // zero if there is none
	service        time.Duration
	held           heldVersion
	plan           faultPlan
}

// faultPlan holds the faults that apply to a call.
type faultPlan struct {
	cutAfterRead, cutAfterRun, duplicate, fail, garble bool

	attemptID string // the attempt id to answer with
	lateBy    time.Duration
}

// refusal is the answer to a request that is not run.
type refusal struct {
	status   int
	draining bool
}

// ServeHTTP serves requests, the health check and the load report.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/v1/run":
		u.serveRun(w, r)
	case "/healthz":
		u.serveHealth(w)
	case "/load":
		u.serveLoad(w)
	default:
		http.NotFound(w, r)
	}
}

func (u *upstream) serveRun(w http.ResponseWriter, r *http.Request) {
	c, err := readCall(r)
	if err != nil {
		return // the caller closed the connection
	}
	if refused := u.admit(c); refused != nil {
		u.refuse(w, c, *refused)
		return
	}
	if c.plan.cutAfterRead {
		resetInsteadOfAnswer(w)
		return
	}
	if !u.takeSlot(r.Context(), c) {
		u.refuse(w, c, refusal{status: http.StatusRequestTimeout})
		return
	}
	done := u.work(r.Context(), c)
	u.finishWork() // before the slot is released, or running could exceed the slots
	<-u.slots
	u.answer(w, c, done)
}

func readCall(r *http.Request) (*call, error) {
	question, err := io.ReadAll(io.LimitReader(r.Body, maxQuestionBytes))
	if err != nil {
		return nil, err
	}
	c := &call{
		attempt:  r.Header.Get("X-Attempt-Id"),
		query:    r.Header.Get("X-Query-Id"),
		question: question,
		version:  parseUint(r.Header.Get("X-Index-Version")),
		limit:    int(parseUint(r.Header.Get("X-Limit"))),
	}
	if left := r.Header.Get("X-Deadline-Ms"); left != "" {
		c.deadline = time.Now().Add(time.Duration(parseUint(left)) * time.Millisecond)
	}
	if by := parseUint(r.Header.Get("X-Start-By-Unix-Ms")); by > 0 {
		c.startBy = time.UnixMilli(int64(by))
	}
	return c, nil
}

// admit counts a request. It returns nil if the request may run, or its refusal.
func (u *upstream) admit(c *call) *refusal {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	if now.Before(u.downUntil) {
		// The request was read during the crash, which resets its connection.
		return &refusal{status: http.StatusInternalServerError} // never received
	}
	u.stats.Requests++
	u.attempts[c.attempt]++
	u.planFaults(c)
	if u.draining {
		u.stats.Refused++
		return &refusal{http.StatusServiceUnavailable, true}
	}
	if c.version != 0 {
		var known bool
		if c.held, known = u.versions[c.version]; !known {
			u.stats.Refused++
			return &refusal{status: http.StatusGone}
		}
	}
	if !u.budget.Allow(now, u.running+u.waiting) {
		u.stats.Falls++
		u.stats.LastFall = fmt.Sprintf("%d running and waiting, %s", u.running+u.waiting, u.budget.String())
		u.crash()
		return &refusal{status: http.StatusInternalServerError} // never received
	}
	if u.running+u.waiting >= u.spec.Slots+u.spec.Queue {
		u.stats.Shed++
		return &refusal{status: http.StatusServiceUnavailable}
	}
	if c.plan.cutAfterRead {
		return nil
	}
	c.service = u.serviceTime()
	u.waiting++
	u.stats.PeakGiven = max(u.stats.PeakGiven, u.running+u.waiting)
	return nil
}

func (u *upstream) planFaults(c *call) {
	c.plan.attemptID = c.attempt
	if takeFault(&u.faults.crossed) {
		c.plan.attemptID = "other/1/1"
		if u.lastAttempt != "" {
			c.plan.attemptID = u.lastAttempt
		}
	}
	u.lastAttempt = c.attempt
	c.plan.cutAfterRead = takeFault(&u.faults.cutAfterRead)
	c.plan.cutAfterRun = takeFault(&u.faults.cutAfterRun)
	c.plan.duplicate = takeFault(&u.faults.duplicate)
	c.plan.fail = takeFault(&u.faults.fail)
	c.plan.garble = takeFault(&u.faults.garble)
	if takeFault(&u.faults.late) {
		c.plan.lateBy = u.faults.lateBy
	}
}

// serviceTime draws the service time of a request.
func (u *upstream) serviceTime() time.Duration {
	took := float64(u.spec.ServiceMin) + u.random.ExpFloat64()*float64(u.spec.ServiceMean)
	if u.spec.StragglerEvery > 0 && u.random.IntN(u.spec.StragglerEvery) == 0 {
		took *= max(1, u.spec.StragglerFactor)
	}
	return time.Duration(took * u.slowFactor)
}

// takeSlot waits for a slot and starts the request. It returns false if the
// deadline or the latest start time has passed.
func (u *upstream) takeSlot(ctx context.Context, c *call) bool {
	waitCtx, cancel := withDeadline(ctx, c.deadline)
	defer cancel()
	got := false
	select {
	case u.slots <- struct{}{}:
		got = true
	case <-waitCtx.Done():
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.waiting--
	now := time.Now()
	late := waitCtx.Err() != nil || !c.startBy.IsZero() && now.After(c.startBy)
	if !got || late {
		u.stats.Refused++
		if got {
			<-u.slots
		}
		return false
	}
	u.startWork(c, now)
	return true
}

// startWork counts a request that starts to run. A question that contains
// DeathQuestion crashes the upstream.
func (u *upstream) startWork(c *call, now time.Time) {
	u.running++
	u.stats.Ran++
	u.stats.LastStart = now
	u.stats.PeakRunning = max(u.stats.PeakRunning, u.running)
	u.queryRuns[c.query]++
	u.questionRuns[string(c.question)]++
	if u.spec.DeathQuestion != "" && bytes.Contains(c.question, []byte(u.spec.DeathQuestion)) {
		u.crash()
	}
}

func (u *upstream) finishWork() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running--
}

// work waits for the service time. It returns false early if the caller cancels
// the request or the deadline passes.
func (u *upstream) work(ctx context.Context, c *call) bool {
	ctx, cancel := withDeadline(ctx, c.deadline)
	defer cancel()
	if sleep(ctx, c.service) {
		return true
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.stats.Cancelled++
	return false
}

func withDeadline(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	if deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline)
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// answer sends the answer to a request that has run.
func (u *upstream) answer(w http.ResponseWriter, c *call, done bool) {
	time.Sleep(c.plan.lateBy)
	header := w.Header()
	u.identify(header, c)
	switch {
	case c.plan.cutAfterRun:
		resetInsteadOfAnswer(w)
	case !done:
		w.WriteHeader(http.StatusGatewayTimeout)
	case c.plan.fail:
		w.WriteHeader(http.StatusInternalServerError)
	case c.plan.duplicate:
		writeTwice(w, header, u.body(header, c))
	default:
		_, _ = w.Write(u.body(header, c))
	}
}

func (u *upstream) identify(header http.Header, c *call) {
	u.mu.Lock()
	defer u.mu.Unlock()
	header.Set("X-Attempt-Id", c.plan.attemptID)
	header.Set("X-Instance-Id", u.instance)
}

// body builds the body of the answer and sets the headers that describe it.
func (u *upstream) body(header http.Header, c *call) []byte {
	if c.plan.garble {
		return []byte(`{"items":[{"key":`)
	}
	if c.version == 0 {
		return fmt.Appendf(nil, "receipt of %s by %s", c.query, u.spec.ID)
	}
	ranges := make([]string, len(c.held.ranges))
	for i, r := range c.held.ranges {
		ranges[i] = r.String()
	}
	header.Set("X-Index-Version", strconv.FormatUint(c.version, 10))
	header.Set("X-Key-Ranges", strings.Join(ranges, ","))
	header.Set("Content-Type", "application/json")
	items := c.held.index.Search(c.held.ranges, c.question, c.limit)
	body, _ := json.Marshal(map[string][]Item{"items": items})
	return body
}

// refuse answers a request that is not run.
func (u *upstream) refuse(w http.ResponseWriter, c *call, r refusal) {
	header := w.Header()
	u.identify(header, c)
	if r.status == http.StatusServiceUnavailable {
		header.Set("X-Not-Run", "true")
		header.Set("Retry-After", "1")
	}
	if r.draining {
		header.Set("X-Draining", "true")
	}
	w.WriteHeader(r.status)
}

// resetInsteadOfAnswer resets the connection in place of an answer.
func resetInsteadOfAnswer(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		reset(conn.(*delayedConn).Conn)
	}
}

// writeTwice sends the same answer twice and closes the connection.
func writeTwice(w http.ResponseWriter, header http.Header, body []byte) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n", len(body))
	_ = header.Write(&b)
	b.WriteString("\r\n")
	b.Write(body)
	_, _ = conn.Write(bytes.Repeat(b.Bytes(), 2))
}

func (u *upstream) serveHealth(w http.ResponseWriter) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.draining {
		u.actualHealth.set("draining")
	}
	state := u.healthOverride
	if state == "" || state == "true" {
		state = u.actualHealth.visible(u.spec.HealthLag)
	}
	w.Header().Set("X-Instance-Id", u.instance)
	if state != "ok" {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = io.WriteString(w, state+"\n")
}

func (u *upstream) serveLoad(w http.ResponseWriter) {
	u.mu.Lock()
	defer u.mu.Unlock()
	load := map[string]int{"running": u.running, "queued": u.waiting, "slots": u.spec.Slots}
	_ = json.NewEncoder(w).Encode(load)
}
