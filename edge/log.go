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
	// logBuffer is how many lines wait to be written; when it is full, the
	// oldest are dropped and counted.
	logBufferLines = 2000
	// linesPerSecond bounds the lines of each decision. Those beyond are
	// counted in the next line that is written.
	maxLinesPerSecond = 100
)

// newLog returns a logger that never blocks its callers. The closer writes what
// is left.
func newLog(w io.Writer, level zerolog.Level, host, domain string, dropped func(int)) (zerolog.Logger, io.Closer) {
	writer := diode.NewWriter(w, logBufferLines, 0, dropped)
	log := zerolog.New(writer).Level(level).With().
		Timestamp().
		Str("host", host).
		Str("failure_domain", domain).
		Logger()
	return log, writer
}

// noteWriter writes the core's decisions to the log, within bounds.
type noteWriter struct {
	log    zerolog.Logger
	second int64
	lines  map[scatter.Decision]int
}

func newNoteWriter(log zerolog.Logger) *noteWriter {
	return &noteWriter{log: log, lines: map[scatter.Decision]int{}}
}

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
	text("detail", note.Detail)
	number := func(key string, value int) {
		if value != 0 {
			event.Int(key, value)
		}
	}
	if note.Question != (core.Fingerprint{}) {
		text("question", hex.EncodeToString(note.Question[:8])) // half of it is unique enough
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

// allow counts a line; suppressed is how many of its kind were left out in the
// second before.
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
