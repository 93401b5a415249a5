package edge

import (
	"bytes"
	"testing"

	"golang.org/x/net/http2"
)

// TestFramesAreCountedInPieces guards against frames that are not counted, or
// counted twice, where reads end within them: small messages would be held free.
func TestFramesAreCountedInPieces(t *testing.T) {
	var sent bytes.Buffer
	sent.WriteString(http2.ClientPreface)
	framer := http2.NewFramer(&sent, nil)
	want := 0
	for _, size := range []int{0, 1, 5, 300, 16 << 10} {
		for _, err := range []error{framer.WriteSettings(), framer.WriteData(1, false, make([]byte, size)), framer.WritePing(false, [8]byte{})} {
			if err != nil {
				t.Fatal(err)
			}
		}
		want++
	}
	for _, piece := range []int{1, 2, 7, 9, 10, 1000, sent.Len()} {
		counter, got := newFrameCounter(), 0
		for left := sent.Bytes(); len(left) > 0; left = left[min(piece, len(left)):] {
			got += counter.count(left[:min(piece, len(left))])
		}
		if got != want {
			t.Errorf("pieces of %d bytes: %d frames, want %d", piece, got, want)
		}
	}
}
