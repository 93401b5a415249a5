//go:build linux

package crowd

import (
	"bytes"
	"encoding/binary"
	"net"
	"testing"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// rpcClient is a client of the port between hosts that keeps to the framing of
// HTTP/2 and to nothing else.
type rpcClient struct {
	framer *http2.Framer
	heads  bytes.Buffer
	packer *hpack.Encoder
	next   uint32
}

// newRPCClient opens an HTTP/2 connection with large windows and discards what the
// host sends.
func newRPCClient(c net.Conn) *rpcClient {
	client := &rpcClient{framer: http2.NewFramer(c, c), next: 1}
	client.packer = hpack.NewEncoder(&client.heads)
	if !send(c, http2.ClientPreface) || client.framer.WriteSettings() != nil {
		return nil
	}
	return client
}

// open begins a call of a method and returns its stream.
func (r *rpcClient) open(method string) (stream uint32, ok bool) {
	r.heads.Reset()
	for _, field := range [][2]string{
		{":method", "POST"},
		{":scheme", "http"},
		{":path", "/samphirebeam.edge.v1.Edge/" + method},
		{":authority", "host"},
		{"content-type", "application/grpc"},
		{"te", "trailers"},
	} {
		_ = r.packer.WriteField(hpack.HeaderField{Name: field[0], Value: field[1]})
	}
	stream = r.next
	r.next += 2
	err := r.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: r.heads.Bytes(), EndHeaders: true})
	return stream, err == nil
}

// message sends the first bytes of a message of a stated size.
func (r *rpcClient) message(stream uint32, size, sent int) bool {
	prefix := binary.BigEndian.AppendUint32([]byte{0}, uint32(size))
	if r.framer.WriteData(stream, false, prefix) != nil {
		return false
	}
	block := make([]byte, 16<<10)
	for ; sent > 0; sent -= len(block) {
		if r.framer.WriteData(stream, false, block[:min(sent, len(block))]) != nil {
			return false
		}
	}
	return true
}

var methods = []string{"Run", "Relay", "Follow", "Snapshot", "EndLimit"}

// TestRawConnectionsBetweenHosts guards against connections to the port between
// hosts that stop before or after the preface of HTTP/2.
func TestRawConnectionsBetweenHosts(t *testing.T) {
	h := start(t, maxFDs, 100)
	h.crowd(2000, h.control, func(i int, c net.Conn) {
		if i%2 == 0 {
			newRPCClient(c)
		}
	})
	h.check()
}

// TestLargeMessagesBetweenHosts guards against messages of many MB that stop short
// of their end.
func TestLargeMessagesBetweenHosts(t *testing.T) {
	h := start(t, maxFDs, 100)
	h.crowd(200, h.control, func(i int, c net.Conn) {
		client := newRPCClient(c)
		for range 4 {
			if client == nil {
				return
			}
			stream, ok := client.open(methods[i%len(methods)])
			if !ok || !client.message(stream, 30<<20, 1<<20) {
				return
			}
		}
	})
	h.check()
}

// TestManyStreamsBetweenHosts guards against calls that are opened and never
// ended, each of which holds goroutines and buffers.
func TestManyStreamsBetweenHosts(t *testing.T) {
	h := start(t, maxFDs, 100)
	h.crowd(20, h.control, func(i int, c net.Conn) {
		client := newRPCClient(c)
		for range 1000 {
			if client == nil {
				return
			}
			stream, ok := client.open(methods[i%len(methods)])
			if !ok || !client.message(stream, 4096, 4000) {
				return
			}
		}
	})
	h.check()
}

// TestManyMessagesBetweenHosts guards against messages without end on one call
// whose answers are not read.
func TestManyMessagesBetweenHosts(t *testing.T) {
	h := start(t, maxFDs, 100)
	h.crowd(100, h.control, func(_ int, c net.Conn) {
		client := newRPCClient(c)
		if client == nil {
			return
		}
		stream, ok := client.open("Relay")
		for j := 0; ok && j < 20000; j++ {
			ok = client.message(stream, 0, 0)
		}
	})
	h.check()
}
