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

// order is a request that must not run twice, with the replies to its callers.
type order struct {
	id      string
	mu      sync.Mutex
	replies []fleet.Reply
}

// TestAtMostOnce sends each order to three hosts at once, and then again, while
// connections are cut, one host is frozen and another is killed. No order may run
// twice, and an order whose answers all report "not run" must not have run.
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

// orderID returns a UUIDv7, which contains a time, but for every fourth order an
// id without a time.
func orderID(n int) string {
	if n%4 == 0 {
		return fmt.Sprint("order ", n)
	}
	return uuid.Must(uuid.NewV7()).String()
}

// send sends the order to three hosts at once, and then again.
func (o *order) send(f *fleet.Fleet, n int) {
	for range 2 {
		var tries sync.WaitGroup
		for k := range 3 {
			h := f.Hosts[(n+3*k)%len(f.Hosts)]
			tries.Go(func() {
				reply, err := h.Call(o.id, o.id, time.Second)
				if err != nil {
					return // the host was killed before it replied
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

// outcome counts the replies by kind. It reports whether one is a success, and
// whether one leaves open that the order has run.
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
