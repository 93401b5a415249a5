package processtest

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/samphirebeam/samphirebeam/standin/fleet"
	"github.com/samphirebeam/samphirebeam/standin/upstreamstub"
)

// order is a request that may not be repeated, with what its callers heard.
type order struct {
	id      string
	mu      sync.Mutex
	replies []fleet.Reply
}

// TestAtMostOnce sends each order through three hosts at a time, and again,
// while connections are cut, a host is frozen and another is killed. No order
// runs twice, and one of which all answers say "not run" has not run.
func TestAtMostOnce(t *testing.T) {
	layout := fleet.DefaultLayout()
	f := start(t, layout)
	var orders []*order
	var sending sync.WaitGroup
	for n := range 160 {
		switch n {
		case 30:
			control(t, f, upstreamstub.Control{Upstreams: []string{"fees-a", "fees-b"}, CutAfterRead: 2, CutAfterRun: 3})
		case 60:
			signal(t, f.Hosts[3], syscall.SIGSTOP)
		case 100:
			f.Hosts[5].Kill()
		case 140:
			signal(t, f.Hosts[3], syscall.SIGCONT)
		}
		o := &order{id: orderID(n)}
		orders = append(orders, o)
		sending.Go(func() { o.send(f, n) })
		time.Sleep(60 * time.Millisecond)
	}
	sending.Wait()
	checkOrders(t, f, orders)
}

// orderID is a key with a time in it, and every fourth an ordinary one.
func orderID(n int) string {
	if n%4 == 0 {
		return fmt.Sprint("order ", n)
	}
	return uuid.Must(uuid.NewV7()).String()
}

// send puts the order through three hosts at once, two times.
func (o *order) send(f *fleet.Fleet, n int) {
	for range 2 {
		var tries sync.WaitGroup
		for k := range 3 {
			h := f.Hosts[(n+3*k)%len(f.Hosts)]
			tries.Go(func() {
				reply, err := h.Call(o.id, o.id, time.Second)
				if err != nil {
					return // the host died: nothing was said
				}
				o.mu.Lock()
				defer o.mu.Unlock()
				o.replies = append(o.replies, reply)
			})
		}
		tries.Wait()
	}
}

func checkOrders(t *testing.T, f *fleet.Fleet, orders []*order) {
	t.Helper()
	stats, err := f.Stats(true)
	if err != nil {
		t.Fatal(err)
	}
	runs := map[string]int{}
	for _, s := range stats {
		for question, n := range s.QuestionRuns {
			runs[question] += n
		}
	}
	kinds := map[string]int{}
	done := 0
	for _, o := range orders {
		succeeded, mayHaveRun := o.outcome(kinds)
		if runs[o.id] > 1 {
			t.Errorf("%s ran %d times", o.id, runs[o.id])
		}
		if runs[o.id] > 0 && !mayHaveRun && len(o.replies) > 0 {
			t.Errorf("%s ran, and every answer says that it did not", o.id)
		}
		if succeeded && runs[o.id] == 0 {
			t.Errorf("%s did not run, and an answer says that it did", o.id)
		}
		if succeeded {
			done++
		}
	}
	t.Logf("%d of %d orders succeeded; answers %v", done, len(orders), kinds)
	if done < len(orders)/2 {
		t.Errorf("only %d of %d orders succeeded", done, len(orders))
	}
}

// outcome says whether an answer is a success, and whether one leaves it open
// that the order has run.
func (o *order) outcome(kinds map[string]int) (succeeded, mayHaveRun bool) {
	for _, r := range o.replies {
		if r.Status == 200 {
			succeeded, mayHaveRun = true, true
			kinds["OK"]++
			continue
		}
		kinds[r.Failure.Kind+", "+r.Failure.Ran]++
		mayHaveRun = mayHaveRun || r.Failure.Ran != "not run"
	}
	return succeeded, mayHaveRun
}
