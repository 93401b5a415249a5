package peerlink

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// recorder records the messages and losses that a Link reports.
type recorder struct {
	mu          sync.Mutex
	messages    []*peerpb.Message
	from        core.HostID
	incarnation uint64
	lost        chan core.HostID
	arrived     chan struct{}
}

func newRecorder() *recorder {
	return &recorder{lost: make(chan core.HostID, 100), arrived: make(chan struct{}, 100_000)}
}

func (b *recorder) receive(from core.HostID, incarnation uint64, m *peerpb.Message) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.from, b.incarnation = from, incarnation
	b.messages = append(b.messages, m)
	b.arrived <- struct{}{}
}

func (b *recorder) onLost(h core.HostID) {
	select {
	case b.lost <- h:
	default:
	}
}

func (b *recorder) wait(t testing.TB, count int) {
	t.Helper()
	for range count {
		select {
		case <-b.arrived:
		case <-time.After(10 * time.Second):
			t.Fatal("no message in 10 s")
		}
	}
}

func (b *recorder) waitLost(t *testing.T) {
	t.Helper()
	select {
	case <-b.lost:
	case <-time.After(10 * time.Second):
		t.Fatal("the loss was not reported in 10 s")
	}
}

func listen(t testing.TB, host core.HostID, modify func(*Config)) (*Link, *recorder) {
	t.Helper()
	rec := newRecorder()
	cfg := Config{Host: host, Incarnation: 7, Address: "127.0.0.1:0", Receive: rec.receive, Lost: rec.onLost}
	if modify != nil {
		modify(&cfg)
	}
	l, err := Listen(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeNow(l) })
	return l, rec
}

func closeNow(l *Link) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	l.Close(ctx)
}

func subQuery(n uint64) *peerpb.Message {
	return &peerpb.Message{Body: &peerpb.Message_SubQuery{SubQuery: &peerpb.SubQuery{Attempt: n, RemainingUs: 1_000_000}}}
}

func TestMessagesArriveInOrder(t *testing.T) {
	a, _ := listen(t, "a", nil)
	b, rec := listen(t, "b", nil)
	a.SetAddress("b", b.Address())
	const n = 5000
	for i := range uint64(n) {
		if !a.Send("b", subQuery(i)) {
			t.Fatal("refused below the queue's bound")
		}
	}
	rec.wait(t, n)
	for i, m := range rec.messages {
		if m.GetSubQuery().Attempt != uint64(i) {
			t.Fatalf("message %d is attempt %d", i, m.GetSubQuery().Attempt)
		}
	}
	if rec.from != "a" || rec.incarnation != 7 {
		t.Errorf("from %s, incarnation %d", rec.from, rec.incarnation)
	}
}

func TestRefusals(t *testing.T) {
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0") // accepts, never answers
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = unresponsive.Close() }()
	a, rec := listen(t, "a", func(c *Config) {
		c.Queue = 3
		c.BackoffMin = time.Hour
		c.BackoffMax = time.Hour
	})
	if a.Send("nobody", subQuery(1)) {
		t.Error("a message to an unknown host was accepted")
	}
	a.SetAddress("b", unresponsive.Addr().String())
	accepted := 0
	for i := range uint64(10) {
		if a.Send("b", subQuery(i)) {
			accepted++
		}
	}
	if accepted != 3 {
		t.Errorf("a queue of 3 accepted %d messages", accepted)
	}
	rec.waitLost(t) // the receiver sent no header within the connect timeout
	if a.Send("b", subQuery(11)) {
		t.Error("a request to a peer that is down was accepted")
	}
}

func TestReconnectAfterRestart(t *testing.T) {
	a, rec := listen(t, "a", nil)
	b, first := listen(t, "b", nil)
	a.SetAddress("b", b.Address())
	a.Send("b", subQuery(1))
	first.wait(t, 1)
	closeNow(b)
	rec.waitLost(t)
	_, second := listen(t, "b", func(c *Config) { c.Address = b.Address() })
	for until := time.Now().Add(10 * time.Second); !a.Send("b", subQuery(2)); {
		if time.Now().After(until) {
			t.Fatal("no new stream in 10 s")
		}
		time.Sleep(time.Millisecond)
	}
	second.wait(t, 1)
}

func TestReceiverReportsBrokenStream(t *testing.T) {
	a, _ := listen(t, "a", nil)
	b, rec := listen(t, "b", nil)
	a.SetAddress("b", b.Address())
	a.Send("b", subQuery(1))
	rec.wait(t, 1)
	a.Reset("b")
	rec.waitLost(t)
}

func TestCloseSendsWhatIsQueued(t *testing.T) {
	a, _ := listen(t, "a", nil)
	b, rec := listen(t, "b", nil)
	a.SetAddress("b", b.Address())
	for i := range uint64(500) {
		a.Send("b", subQuery(i))
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	a.Close(ctx)
	rec.wait(t, 500)
}

func TestQueueTimeReducesRemainingTime(t *testing.T) {
	delayed := deductQueueTime(subQuery(1), 300*time.Millisecond).GetSubQuery().RemainingUs
	immediate := deductQueueTime(subQuery(1), 100*time.Microsecond).GetSubQuery().RemainingUs
	if delayed != 700_000 || immediate != 1_000_000 {
		t.Errorf("remaining time %d and %d µs, want 700000 and 1000000", delayed, immediate)
	}
}

// cuttingPeer closes the connection once it has read a batch.
type cuttingPeer struct {
	peerpb.UnimplementedPeerServer
	mu   sync.Mutex
	seen map[uint64]int
	cut  func()
}

func (c *cuttingPeer) Exchange(stream grpc.BidiStreamingServer[peerpb.Batch, peerpb.Ack]) error {
	if err := stream.SendHeader(nil); err != nil {
		return err
	}
	batch, err := stream.Recv()
	if err != nil {
		return err
	}
	c.mu.Lock()
	for _, m := range batch.Messages {
		c.seen[m.GetSubQuery().Attempt]++
	}
	c.mu.Unlock()
	c.cut()
	return nil
}

// trackingListener keeps the accepted connections, so that closeAll can close
// them.
type trackingListener struct {
	net.Listener
	mu    sync.Mutex
	conns []net.Conn
}

func (c *trackingListener) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns = append(c.conns, conn)
	return conn, err
}

func (c *trackingListener) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		if conn != nil {
			_ = conn.Close()
		}
	}
	c.conns = nil
}

// TestNothingIsSentTwice checks that a message is not resent when the connection
// breaks after the receiver has read it.
func TestNothingIsSentTwice(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	tracking := &trackingListener{Listener: listener}
	peer := &cuttingPeer{seen: map[uint64]int{}, cut: tracking.closeAll}
	server := grpc.NewServer()
	peerpb.RegisterPeerServer(server, peer)
	go func() { _ = server.Serve(tracking) }()
	defer server.Stop()
	a, rec := listen(t, "a", func(c *Config) { c.BackoffMax = 2 * time.Millisecond })
	a.SetAddress("b", listener.Addr().String())
	for cuts, n := 0, uint64(1); cuts < 20; n++ {
		a.Send("b", subQuery(n))
		select {
		case <-rec.lost:
			cuts++
		case <-time.After(time.Millisecond):
		}
	}
	peer.mu.Lock()
	defer peer.mu.Unlock()
	if len(peer.seen) == 0 {
		t.Fatal("no batch was read")
	}
	for attempt, times := range peer.seen {
		if times > 1 {
			t.Errorf("attempt %d was sent %d times", attempt, times)
		}
	}
}

func BenchmarkSend(b *testing.B) {
	for _, size := range []int{1, 16, 64} {
		b.Run(fmt.Sprintf("batch=%d", size), func(b *testing.B) { benchmarkSend(b, size) })
	}
}

// benchmarkSend keeps one batch of the given size in flight at a time.
func benchmarkSend(b *testing.B, batch int) {
	sender, _ := listen(b, "a", nil)
	receiver, rec := listen(b, "b", nil)
	sender.SetAddress("b", receiver.Address())
	m := subQuery(1)
	m.GetSubQuery().Question = make([]byte, 64)
	sender.Send("b", m)
	rec.wait(b, 1)
	before := sender.Stats()
	cpu := processorTime(b)
	b.ResetTimer()
	for sent := 0; sent < b.N; sent += batch {
		for range batch {
			sender.Send("b", m)
		}
		rec.wait(b, batch)
		rec.messages = rec.messages[:0]
	}
	b.StopTimer()
	used := processorTime(b) - cpu
	after := sender.Stats()
	messages := float64(after.Sent - before.Sent)
	b.ReportMetric(float64(used.Nanoseconds())/messages, "cpu-ns/message")
	b.ReportMetric(messages/float64(after.Batches-before.Batches), "messages/batch")
}
