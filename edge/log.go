package edge

import (
	"encoding/hex"
	"io"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/scatter"
)

const (
	// logBufferLines is how many lines are buffered; when the buffer is full, the
	// oldest lines are dropped and counted.
	logBufferLines = 2000
	// maxLinesPerSecond bounds the lines of each kind of decision. Lines over the
	// limit are counted, and the count is part of a line in the next second.
	maxLinesPerSecond = 100
)

// newLog returns a logger that never blocks, and a closer that writes the
// buffered lines.
func newLog(w io.Writer, level zerolog.Level, host, domain string, dropped func(int)) (zerolog.Logger, io.Closer) {
	writer := diode.NewWriter(w, logBufferLines, 0, dropped)
	log := zerolog.New(writer).Level(level).With().
		Timestamp().
		Str("host", host).
		Str("failure_domain", domain).
		Logger()
	return log, writer
}

// noteWriter logs the core's decisions, with a limit on the rate of each kind.
type noteWriter struct {
	log    zerolog.Logger
	second int64
	lines  map[scatter.Decision]int
}

func newNoteWriter(log zerolog.Logger) *noteWriter {
	return &noteWriter{log: log, lines: map[scatter.Decision]int{}}
}

// write logs a decision, unless its kind is over the limit.
func (n *noteWriter) write(now time.Time, note scatter.Note) {
	suppressed, allowed := n.allow(now, note.Decision)
	if !allowed {
		return
	}
	event := n.log.Info().Str("event", string(note.Decision))
	text := func(key, value string) {
		if value != "" {
			event.Str(key, value)
		}
	}
	text("request", note.RequestID)
	text("route", note.Route)
	text("service", string(note.Service))
	text("upstream", string(note.Upstream))
	text("relay", string(note.Relay))
	text("detail", note.Detail)
	number := func(key string, value int) {
		if value != 0 {
			event.Int(key, value)
		}
	}
	if note.Fingerprint != (core.Fingerprint{}) {
		text("question", hex.EncodeToString(note.Fingerprint[:8])) // 64 bits are enough to identify it
	}
	number("upstreams_lost", note.UpstreamsLost)
	number("attempt", note.Attempt)
	number("parts", note.Parts)
	number("missing", note.Missing)
	number("extra_sends", note.Extra)
	number("suppressed_lines", suppressed)
	if note.Version != 0 {
		event.Uint64("config_version", note.Version)
	}
	if note.Age != 0 {
		event.Float64("age_ms", float64(note.Age)/float64(time.Millisecond))
	}
	event.Send()
}

// allow counts a line. suppressed is the number of lines of the same kind that
// were left out before.
func (n *noteWriter) allow(now time.Time, decision scatter.Decision) (suppressed int, allowed bool) {
	if second := now.Unix(); second != n.second {
		n.second = second
		for decision, count := range n.lines {
			n.lines[decision] = min(0, maxLinesPerSecond-count)
		}
	}
	count := n.lines[decision]
	if count < 0 {
		suppressed, count = -count, 0
	}
	n.lines[decision] = count + 1
	return suppressed, count < maxLinesPerSecond
}
