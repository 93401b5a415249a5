package peerlink

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/protobuf/proto"

	"github.com/samphirebeam/samphirebeam/peerpb"
)

// refusingPeer is an HTTP/2 peer that reads a batch and then refuses the stream
// with REFUSED_STREAM, as if it had not processed it. gRPC retries such a stream
// transparently unless it is committed. The peer sends its header after
// headerDelay, which exposes a sender that does not wait for the header.
type refusingPeer struct {
	mu          sync.Mutex
	seen        map[uint64]int
	headerDelay time.Duration
}

func (r *refusingPeer) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go r.serve(c)
	}
}

func (r *refusingPeer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	preface := make([]byte, len(http2.ClientPreface))
	if _, err := io.ReadFull(c, preface); err != nil {
		return
	}
	framer := http2.NewFramer(c, c)
	var writing sync.Mutex
	write := func(send func() error) {
		writing.Lock()
		defer writing.Unlock()
		_ = send()
	}
	write(func() error { return framer.WriteSettings() })
	refused := map[uint32]bool{}
	for {
		frame, err := framer.ReadFrame()
		if err != nil {
			return
		}
		switch f := frame.(type) {
		case *http2.SettingsFrame:
			if !f.IsAck() {
				write(framer.WriteSettingsAck)
			}
		case *http2.PingFrame:
			if !f.IsAck() {
				write(func() error { return framer.WritePing(true, f.Data) })
			}
		case *http2.HeadersFrame:
			id := f.StreamID
			time.AfterFunc(r.headerDelay, func() { write(func() error { return writeHeader(framer, id) }) })
		case *http2.DataFrame:
			if len(f.Data()) == 0 || refused[f.StreamID] {
				continue
			}
			refused[f.StreamID] = true
			r.count(f.Data())
			write(func() error { return framer.WriteRSTStream(f.StreamID, http2.ErrCodeRefusedStream) })
		}
	}
}

func writeHeader(framer *http2.Framer, stream uint32) error {
	var block bytes.Buffer
	encoder := hpack.NewEncoder(&block)
	_ = encoder.WriteField(hpack.HeaderField{Name: ":status", Value: "200"})
	_ = encoder.WriteField(hpack.HeaderField{Name: "content-type", Value: "application/grpc"})
	return framer.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: block.Bytes(), EndHeaders: true})
}

// count decodes the batch from a gRPC message, which starts with a compression
// flag and a length, and counts the attempts in it.
func (r *refusingPeer) count(data []byte) {
	if len(data) < 5 || int(binary.BigEndian.Uint32(data[1:5])) != len(data)-5 {
		return
	}
	var batch peerpb.Batch
	if err := proto.Unmarshal(data[5:], &batch); err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range batch.Messages {
		r.seen[m.GetSubQuery().Attempt]++
	}
}

// TestRefusedStreamIsNotRepeated checks that gRPC does not resend the messages
// of a refused stream. It fails if peer.open does not wait for the header.
func TestRefusedStreamIsNotRepeated(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	peer := &refusingPeer{seen: map[uint64]int{}, headerDelay: 50 * time.Millisecond}
	go peer.accept(listener)
	a, rec := listen(t, "a", func(c *Config) { c.BackoffMax = 2 * time.Millisecond })
	a.SetAddress("b", listener.Addr().String())
	for n := range uint64(5) {
		for !a.Send("b", subQuery(n)) {
			time.Sleep(time.Millisecond)
		}
		rec.waitLost(t)
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
