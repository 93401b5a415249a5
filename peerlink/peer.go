package peerlink

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
	"github.com/samphirebeam/samphirebeam/ring"
)

type exchangeStream = grpc.BidiStreamingClient[peerpb.Batch, peerpb.Ack]

// queued is a message that waits to be sent.
type queued struct {
	message    *peerpb.Message
	enqueuedAt time.Time
}

// peer is the sending end of the link to one host. Only the goroutine that runs
// run uses the stream.
type peer struct {
	link      *Link
	host      core.HostID
	queue     *ring.Ring[queued]
	ctx       context.Context
	cancel    context.CancelFunc
	done      chan struct{} // closed when run returns
	down      atomic.Bool   // the last session failed and none has opened since
	reconnect chan struct{} // holds a signal when a request was refused while down

	mu           sync.Mutex
	address      string
	cancelStream context.CancelFunc // ends the open stream
}

func newPeer(l *Link, host core.HostID, address string) *peer {
	p := &peer{
		link:         l,
		host:         host,
		address:      address,
		queue:        ring.NewDropping(l.cfg.Queue, isStateUpdate),
		done:         make(chan struct{}),
		reconnect:    make(chan struct{}, 1),
		cancelStream: func() {},
	}
	p.ctx, p.cancel = context.WithCancel(l.ctx)
	return p
}

// isStateUpdate reports whether a later message of the same kind replaces this
// one.
func isStateUpdate(q queued) bool {
	switch q.message.Body.(type) {
	case *peerpb.Message_LoadReport, *peerpb.Message_Heartbeat, *peerpb.Message_ConfigDigest, *peerpb.Message_LeaseTable:
		return true
	default:
		return false
	}
}

// enqueue queues a message. While the peer cannot be reached, only state updates
// are queued: a request that is refused immediately can still be sent elsewhere
// in time.
func (p *peer) enqueue(m *peerpb.Message) bool {
	q := queued{m, time.Now()}
	if p.down.Load() && !isStateUpdate(q) {
		select {
		case p.reconnect <- struct{}{}:
		default: // an attempt to connect is already pending
		}
		return false
	}
	return p.queue.Put(q)
}

func (p *peer) setAddress(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.address == address {
		return
	}
	p.address = address
	p.cancelStream()
}

func (p *peer) breakStream() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cancelStream()
}

func (p *peer) stop() {
	p.queue.Close()
	p.cancel()
}

// drain closes the queue and waits until the queued messages are sent and run
// has returned. When ctx is done first, it cancels run.
func (p *peer) drain(ctx context.Context) {
	p.queue.Close()
	select {
	case <-p.done:
	case <-ctx.Done():
		p.cancel()
	}
}

// run opens streams and sends the queued messages. It opens a stream only when
// there is something to send, so that no attempts are made to connect to a peer
// that is no longer used, such as one that has left permanently.
func (p *peer) run() {
	defer close(p.done)
	backoff := p.link.cfg.BackoffMin
	for p.waitForWork() {
		opened, err := p.session()
		if err == nil {
			continue
		}
		p.down.Store(true)
		if p.discardQueue() || opened {
			p.link.reportLost(p.host)
		}
		if opened {
			backoff = p.link.cfg.BackoffMin
		}
		p.sleep(rand.N(backoff))
		backoff = min(2*backoff, p.link.cfg.BackoffMax)
	}
}

// waitForWork waits until a stream is needed. It returns false when the peer is
// stopped, or its queue is closed and empty.
func (p *peer) waitForWork() bool {
	for p.queue.Len() == 0 {
		if p.queue.Closed() {
			return false
		}
		select {
		case <-p.queue.Ready():
		case <-p.reconnect:
			return true
		case <-p.ctx.Done():
			return false
		}
	}
	return p.ctx.Err() == nil
}

// discardQueue drops the messages that were queued when the stream broke, since
// they would arrive too late. It reports whether any of them was more than a
// state update.
func (p *peer) discardQueue() bool {
	waiting := p.queue.Drain(make([]queued, 0, p.queue.Len()+1))
	return slices.ContainsFunc(waiting, func(q queued) bool { return !isStateUpdate(q) })
}

func (p *peer) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-p.ctx.Done():
	}
}

// session opens a stream and sends queued messages over it. It returns an error
// if the stream could not be opened or broke, and nil once the queue is closed
// and empty.
func (p *peer) session() (opened bool, err error) {
	ctx, cancelStream := context.WithCancel(p.ctx)
	defer cancelStream()
	p.mu.Lock()
	p.cancelStream = cancelStream
	address := p.address
	p.mu.Unlock()
	conn, err := p.dial(address)
	if err != nil {
		return false, err
	}
	defer func() { _ = conn.Close() }()
	stream, err := p.open(ctx, conn, cancelStream)
	if err != nil {
		return false, err
	}
	p.down.Store(false)
	broken := make(chan struct{})
	go func() {
		defer close(broken)
		waitForStreamEnd(stream)
	}()
	if err := p.sendLoop(stream, broken); err != nil {
		return true, err
	}
	_ = stream.CloseSend()
	p.waitForReceiver(broken)
	return true, nil
}

// waitForReceiver waits, for ConnectTimeout at most, until the receiver has read
// the last batches and ended the stream.
func (p *peer) waitForReceiver(broken <-chan struct{}) {
	select {
	case <-broken:
	case <-time.After(p.link.cfg.ConnectTimeout):
	case <-p.ctx.Done():
	}
}

// dial creates a client for exactly the given address, without name resolution,
// proxy or service configuration.
func (p *peer) dial(address string) (*grpc.ClientConn, error) {
	creds := p.link.cfg.ClientCredentials
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(creds),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithNoProxy(),
		grpc.WithInitialWindowSize(windowBytes),
		grpc.WithInitialConnWindowSize(windowBytes),
	)
	return conn, eris.Wrap(err, "create peer client")
}

// open starts a stream and waits for the receiver's header, which commits the
// stream. gRPC retries an uncommitted stream transparently on another
// connection, even with WithDisableRetry, and would thus resend its messages.
func (p *peer) open(ctx context.Context, conn *grpc.ClientConn, cancelStream func()) (exchangeStream, error) {
	timer := time.AfterFunc(p.link.cfg.ConnectTimeout, cancelStream)
	defer timer.Stop()
	stream, err := peerpb.NewPeerClient(conn).Exchange(ctx)
	if err != nil {
		return nil, eris.Wrap(err, "open stream")
	}
	if _, err := stream.Header(); err != nil {
		return nil, eris.Wrap(err, "wait for the receiver's header")
	}
	return stream, ctx.Err()
}

// waitForStreamEnd returns when the stream has ended. The receiver sends no
// messages on it.
func waitForStreamEnd(stream exchangeStream) {
	for {
		if _, err := stream.Recv(); err != nil {
			return
		}
	}
}

// sendLoop sends the queued messages in batches until the queue is closed and
// empty or the stream breaks. It sends whatever is queued and does not wait for
// a batch to fill.
func (p *peer) sendLoop(stream exchangeStream, broken <-chan struct{}) error {
	waiting := make([]queued, 0, p.link.cfg.Batch)
	for {
		waiting = p.queue.Drain(waiting[:0])
		if len(waiting) == 0 {
			if p.queue.Closed() {
				return nil
			}
			select {
			case <-p.queue.Ready():
			case <-broken:
				return eris.New("stream broken")
			}
			continue
		}
		if err := p.sendWaiting(stream, waiting); err != nil {
			return err
		}
	}
}

func (p *peer) sendWaiting(stream exchangeStream, waiting []queued) error {
	for len(waiting) > 0 {
		if p.link.cfg.Delay > 0 {
			p.sleep(time.Until(waiting[0].enqueuedAt.Add(p.link.cfg.Delay)))
		}
		batch, count := p.nextBatch(waiting)
		if err := stream.Send(batch); err != nil {
			return eris.Wrap(err, "send batch")
		}
		p.link.counters.batches.Add(1)
		p.link.counters.sent.Add(uint64(count))
		waiting = waiting[count:]
	}
	return nil
}

// nextBatch builds one batch from the first messages that are due, and returns
// their number. It adds no further message once the batch has batchBytes.
func (p *peer) nextBatch(waiting []queued) (*peerpb.Batch, int) {
	batch := &peerpb.Batch{
		Host:        string(p.link.cfg.Host),
		Incarnation: p.link.cfg.Incarnation,
		Messages:    make([]*peerpb.Message, 0, len(waiting)),
	}
	due := time.Now().Add(-p.link.cfg.Delay)
	size := 0
	for i, q := range waiting {
		if i > 0 && (size >= batchBytes || q.enqueuedAt.After(due)) {
			return batch, i
		}
		m := deductQueueTime(q.message, due.Sub(q.enqueuedAt))
		batch.Messages = append(batch.Messages, m)
		size += proto.Size(m)
	}
	return batch, len(waiting)
}
