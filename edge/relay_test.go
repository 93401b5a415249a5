package edge

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/samphirebeam/samphirebeam/core/scatter"
	"github.com/samphirebeam/samphirebeam/edgepb"
	"github.com/samphirebeam/samphirebeam/platform"
	"github.com/samphirebeam/samphirebeam/standin/serverstub"
)

// newRelayCluster returns a cluster with two hosts in the failure domain d1 and
// two in d2, where the servers of all four shards are, and waits until the first
// host relays.
func newRelayCluster(t *testing.T) (*testCluster, []*testHost) {
	cluster := newTestCluster(t)
	var shards []string
	for i := range 4 {
		shard := fmt.Sprint("shard", i)
		shards = append(shards, shard)
		record := strings.Repeat(string(rune('a'+i)), scatter.RecordSize)
		config := serverstub.Config{Work: 20 * time.Millisecond, Body: []byte(record)}
		for n := range 2 {
			cluster.addServerIn("d2", shard, fmt.Sprint(shard, "-", n), config)
		}
	}
	cluster.addServer("files", "f-0", serverstub.Config{})
	cluster.configure("files", shards...)
	hosts := []*testHost{
		cluster.startHostIn("d1", "h1", 1), cluster.startHostIn("d1", "h2", 1), cluster.startHostIn("d2", "h3", 1), cluster.startHostIn("d2", "h4", 1),
	}
	eventually(t, func() error {
		hosts[0].request("GET", "/gather/warm", fmt.Sprint("warm-", time.Now().UnixNano()), "")
		if hosts[0].relayedCount() == 0 {
			return fmt.Errorf("nothing was relayed")
		}
		return nil
	})
	return cluster, hosts
}

func (h *testHost) relayedCount() (count uint64) {
	h.decision.query(func(e *scatter.Engine) { count = e.Stats().Relayed })
	return count
}

func TestRelayedPartsAreMerged(t *testing.T) {
	_, hosts := newRelayCluster(t)
	answer := hosts[0].request("GET", "/gather/x", "r-1", "")
	want := strings.Repeat("d", 16) + strings.Repeat("c", 16) + strings.Repeat("b", 16)
	if answer.status != 200 || string(answer.body) != want || answer.header.Get("Missing-Parts") != "0" {
		t.Errorf("status %d, %q missing, body %q", answer.status, answer.header.Get("Missing-Parts"), answer.body)
	}
	if got := strings.Count(answer.header.Get("Part-Stamps"), ",") + 1; got != 4 {
		t.Errorf("%d signatures, want 4", got)
	}
}

// TestGathersSurviveRelayShutdown ends both relays, by a planned stop or by
// breaking their connections, and checks that every gather is still complete.
func TestGathersSurviveRelayShutdown(t *testing.T) {
	for name, end := range map[string]func(*testHost){
		"planned stop": func(h *testHost) { h.stopAndWait() },
		"broken":       func(h *testHost) { h.peerServer.Stop() },
	} {
		t.Run(name, func(t *testing.T) {
			_, hosts := newRelayCluster(t)
			var callers sync.WaitGroup
			for c := range 8 {
				callers.Go(func() {
					for i := range 60 {
						answer := hosts[0].request("GET", "/gather/x", fmt.Sprint("r-", c, "-", i), "")
						if answer.err != nil || answer.status != 200 || answer.header.Get("Missing-Parts") != "0" {
							t.Errorf("caller %d, request %d: status %d, %q missing: %v", c, i, answer.status, answer.header.Get("Missing-Parts"), answer.err)
							return
						}
						time.Sleep(5 * time.Millisecond)
					}
				})
			}
			time.Sleep(300 * time.Millisecond)
			end(hosts[2])
			time.Sleep(300 * time.Millisecond)
			end(hosts[3])
			callers.Wait()
		})
	}
}

// TestStoppingRelayDeclinesNewRequests guards against a stopping relay that just
// ends its streams: the other host could not determine whether its requests were
// sent, and would have to spend retries on them.
func TestStoppingRelayDeclinesNewRequests(t *testing.T) {
	_, hosts := newRelayCluster(t)
	client, err := hosts[0].peers.client(hosts[2].platformSettings.Control)
	if err != nil {
		t.Fatal(err)
	}
	stream, err := client.Relay(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	hosts[2].stop()
	for i := range 10 {
		time.Sleep(50 * time.Millisecond)
		if err := stream.Send(&edgepb.RelayRequest{Id: uint64(i), ConfigVersion: 1, Method: "GET", Target: "/gather/x"}); err != nil {
			t.Fatalf("after %d requests: %v", i, err)
		}
		if reply, err := stream.Recv(); err != nil || !reply.Declined {
			t.Fatalf("request %d: %v, %v", i, reply, err)
		}
	}
}

// TestRelayDeclinesOtherVersions guards against a relay that sends requests
// according to another version of the configuration than the one in force there,
// as if it had reverted to that version.
func TestRelayDeclinesOtherVersions(t *testing.T) {
	cluster, hosts := newRelayCluster(t)
	client, err := hosts[0].peers.client(hosts[2].platformSettings.Control)
	if err != nil {
		t.Fatal(err)
	}
	stream, err := client.Relay(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for id, version := range []uint64{0, uint64(cluster.version) - 1, uint64(cluster.version) + 1, uint64(cluster.version)} {
		request := &edgepb.RelayRequest{
			Id: uint64(id), ConfigVersion: version, Method: "GET", Host: "h.example", Target: "/gather/x",
			Headers: []*edgepb.Header{{Name: "Request-Id", Values: []string{fmt.Sprint("v-", id)}}},
			LeftUs:  1_000_000, Top: 3,
			Targets: []*edgepb.RelayTarget{{Ref: uint32(id + 1), Upstream: "shard0-0", Address: cluster.servers["shard0-0"].Address(), Connections: 2}},
		}
		if err := stream.Send(request); err != nil {
			t.Fatal(err)
		}
		reply, err := stream.Recv()
		if err != nil {
			t.Fatal(err)
		}
		if want := version != uint64(cluster.version); reply.Declined != want {
			t.Errorf("version %d with %d in force: declined %v", version, cluster.version, reply.Declined)
		}
	}
}

// TestCallerDisconnectCancelsRelayedSends checks that relays close the
// connections on which they wait for servers once the caller has disconnected.
func TestCallerDisconnectCancelsRelayedSends(t *testing.T) {
	cluster, hosts := newRelayCluster(t)
	for _, s := range cluster.servers {
		s.PauseFor(2 * time.Second)
	}
	hosts[0].client.Timeout = 100 * time.Millisecond
	hosts[0].request("GET", "/gather/x", "r-1", "")
	eventually(t, func() error {
		for _, h := range hosts[2:] {
			h.sender.pool.mu.Lock()
			running := len(h.sender.pool.inUse)
			h.sender.pool.mu.Unlock()
			if running > 0 {
				return fmt.Errorf("a relay still waits for %d servers", running)
			}
		}
		return nil
	})
}

// TestRequestBodiesReachUpstreamsIntact guards against relaying requests with a
// body: a relay receives the head of a request only.
func TestRequestBodiesReachUpstreamsIntact(t *testing.T) {
	t.Parallel()
	cluster, hosts := newRelayCluster(t)
	for i := range 10 {
		id := fmt.Sprint("body-", i)
		if answer := hosts[0].request("POST", "/gather/x", id, "what is asked"); answer.status != 200 {
			t.Fatalf("status %d", answer.status)
		}
		for name, server := range cluster.servers {
			if runs, body := server.Runs(id); runs > 0 && body != "what is asked" {
				t.Errorf("%s ran it with the body %q", name, body)
			}
		}
	}
}

// TestBytesThatAreNoTextEndNoRelayStream guards against a request or an answer that
// cannot be encoded for the stream between hosts and ends it, and with it the requests
// of other callers.
func TestBytesThatAreNoTextEndNoRelayStream(t *testing.T) {
	_, hosts := newRelayCluster(t)
	for i, target := range []string{"/gather/x", "/gather/caf\xe9"} {
		conn, err := net.Dial("tcp", hosts[0].platformSettings.Callers)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r-%d\r\nX-Name: caf\xe9\r\n\r\n", target, i)
		if err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		if missing := response.Header.Get("Missing-Parts"); response.StatusCode != http.StatusOK || missing != "0" {
			t.Errorf("%q: status %d, %q missing", target, response.StatusCode, missing)
		}
	}
	if strings.Contains(hosts[0].log.String(), "invalid UTF-8") {
		t.Error("the stream to the relay ended")
	}
	for name, replied := range map[string]scatter.AttemptEnded{
		"cause":     {Outcome: scatter.Lost, Cause: "malformed MIME header line: \xff\xfe"},
		"signature": {Outcome: scatter.Succeeded, Payload: platform.NewPart("\xff\xfe", record('a'))},
	} {
		part := encodePart(0, replied, time.Millisecond, scatter.NewTopKeeper(3))
		if _, err := proto.Marshal(part); err != nil || scatter.Outcome(part.Outcome) != scatter.Lost {
			t.Errorf("%s: %v, outcome %v", name, err, scatter.Outcome(part.Outcome))
		}
	}
}

// TestHeadersThatAreNoTextAreHandedOver: a value that is not UTF-8 reaches the other
// host unchanged.
func TestHeadersThatAreNoTextAreHandedOver(t *testing.T) {
	want := http.Header{"X-Name": {"caf\xe9", "plain"}, "X-Plain": {"caf\u00e9"}}
	encoded, err := proto.Marshal(&edgepb.RunRequest{Headers: encodeHeaders(want)})
	if err != nil {
		t.Fatal(err)
	}
	var decoded edgepb.RunRequest
	if err := proto.Unmarshal(encoded, &decoded); err != nil {
		t.Fatal(err)
	}
	if got := decodeHeaders(decoded.Headers); !reflect.DeepEqual(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}
