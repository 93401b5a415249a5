package edge

import "golang.org/x/net/http2"

// frameHeaderBytes is the size of the header of an HTTP/2 frame: 3 bytes of length,
// the type, the flags and 4 bytes of stream.
const frameHeaderBytes = 9

// frameCounter counts the DATA frames in what a client of an HTTP/2 connection
// sends. gRPC queues each of them, so that a message of a few bytes costs far more
// than its bytes while it is not read.
type frameCounter struct {
	skip   int // bytes until the next frame
	header [frameHeaderBytes]byte
	filled int
}

func newFrameCounter() frameCounter { return frameCounter{skip: len(http2.ClientPreface)} }

// count returns how many DATA frames begin in p, which follows what was counted
// before. A frame counts with the last byte of its header.
func (f *frameCounter) count(p []byte) (frames int) {
	for len(p) > 0 {
		if f.skip > 0 {
			n := min(f.skip, len(p))
			f.skip -= n
			p = p[n:]
			continue
		}
		n := copy(f.header[f.filled:], p)
		p = p[n:]
		if f.filled += n; f.filled < frameHeaderBytes {
			break
		}
		f.filled = 0
		f.skip = int(f.header[0])<<16 | int(f.header[1])<<8 | int(f.header[2])
		if http2.FrameType(f.header[3]) == http2.FrameData {
			frames++
		}
	}
	return frames
}
