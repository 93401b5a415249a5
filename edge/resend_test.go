package edge

import (
	"net/http"
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core/scatter"
	"github.com/samphirebeam/samphirebeam/platform"
	"github.com/samphirebeam/samphirebeam/standin/serverstub"
)

// TestLateRejectionIsNotTheAnswerToASecondSend guards against a non-repeatable
// request that runs twice, or is refused although it runs: its server had rejected
// the first send and repeated that answer on the connection of the second one.
func TestLateRejectionIsNotTheAnswerToASecondSend(t *testing.T) {
	t.Parallel()
	cluster := newTestCluster(t)
	cluster.firstStart = true // the whole allowance for extra sends is available
	cluster.addServer("orders", "o1", serverstub.Config{Work: 20 * time.Millisecond})
	cluster.configure("orders")
	h := cluster.startHost("host-1", 1)
	cluster.servers["o1"].SetFault(serverstub.LateRejection)
	for _, id := range []string{"order-1", "order-2", "order-3"} {
		answer := h.request("POST", "/order/", id, "one map")
		if runs := cluster.countRuns(id); answer.status != http.StatusOK || runs != 1 {
			t.Errorf("%s: status %d, ran %d times", id, answer.status, runs)
		}
	}
}

// TestRelayedSendsOfARequestUseSeveralConnections guards against a relay that takes a
// repeated answer to one send for the answer to a later send of the same request.
func TestRelayedSendsOfARequestUseSeveralConnections(t *testing.T) {
	t.Parallel()
	cluster := newTwoShardCluster(t)
	h := cluster.startHost("host-1", 1)
	server := cluster.servers["a1"]
	server.SetFault(serverstub.LateRejection)
	message := platform.NewRequest(platform.Message{
		Method: http.MethodGet, Host: "h.example", Target: "/gather/", Header: http.Header{"Request-Id": {"r-1"}},
	})
	send := scatter.Send{
		Target: scatter.Upstream{ID: "a1", Address: server.Address(), Started: 2}, Connections: 4, Repeatable: true,
		Deadline: time.Now().Add(time.Second), Top: 3,
	}
	for i, want := range []scatter.Outcome{scatter.NotExecuted, scatter.Succeeded} {
		if got := h.sender.relay(t.Context(), send, message.Forward, false); got.Outcome != want {
			t.Errorf("send %d: %s (%s), want %s", i+1, got.Outcome, got.Cause, want)
		}
	}
	if h.sender.pool.hasIdle(send, "r-1") || !h.sender.pool.hasIdle(send, "r-2") {
		t.Error("an idle connection that has carried the request can carry it again, or carries no other")
	}
}
