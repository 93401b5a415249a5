package edge

import (
	"context"
	"fmt"
	stdlog "log"
	"net/http"
	"runtime/debug"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// errUnexpected ends work that met an unexpected error, which the log holds.
var errUnexpected = eris.New("unexpected error")

// panics decides what an unexpected error in a duty does: the piece of work
// that met it ends, is logged and counted, and the process lives on.
type panicHandler struct {
	log   zerolog.Logger
	count metrics.Counter
}

// caught ends a panic of the function that defers it, and then tells those who
// wait for the work; nil tells nobody. The request ID is empty for work that
// concerns no request.
func (p *panicHandler) recoverPanic(duty, requestID string, then func()) {
	cause := recover()
	switch cause {
	case nil:
		return
	case http.ErrAbortHandler: // meant for the library
		panic(cause)
	}
	p.record(duty, requestID, cause)
	if then != nil {
		then()
	}
}

func (p *panicHandler) record(duty, requestID string, cause any) {
	p.count.Inc(1)
	p.log.Error().Str("event", "panic").Str("duty", duty).Str("request_id", requestID).
		Str("cause", fmt.Sprint(cause)).Bytes("stack", debug.Stack()).Msg("the work that met it ends")
}

// standardLog returns a logger for libraries that want one of the standard
// library's.
func (p *panicHandler) standardLog(duty string) *stdlog.Logger {
	return stdlog.New(logAdapter{p.log.With().Str("event", "library").Str("duty", duty).Logger()}, "", 0)
}

// logAdapter writes each line as a warning.
type logAdapter struct{ log zerolog.Logger }

// Write implements io.Writer.
func (a logAdapter) Write(line []byte) (int, error) {
	a.log.Warn().Msg(string(line))
	return len(line), nil
}

// unary and stream keep an unexpected error in a call of another host from
// ending the process.
func (p *panicHandler) unaryInterceptor(ctx context.Context, request any, info *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (reply any, err error) {
	defer p.recoverPanic(info.FullMethod, "", func() { reply, err = nil, status.Error(codes.Internal, errUnexpected.Error()) })
	return handle(ctx, request)
}

func (p *panicHandler) streamInterceptor(server any, stream grpc.ServerStream, info *grpc.StreamServerInfo, handle grpc.StreamHandler) (err error) {
	defer p.recoverPanic(info.FullMethod, "", func() { err = status.Error(codes.Internal, errUnexpected.Error()) })
	return handle(server, stream)
}
