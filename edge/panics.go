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

// errUnexpected is the result of work that panicked; the log has the details.
var errUnexpected = eris.New("unexpected error")

// panicHandler recovers from panics in workers: the work that panicked ends, the
// panic is logged and counted, and the process continues.
type panicHandler struct {
	log   zerolog.Logger
	count metrics.Counter
}

// recoverPanic recovers from a panic of the function that defers it, and then
// calls then unless it is nil. The request ID is empty for work that belongs to
// no request.
func (p *panicHandler) recoverPanic(worker, requestID string, then func()) {
	cause := recover()
	switch cause {
	case nil:
		return
	case http.ErrAbortHandler: // for net/http, which aborts the response
		panic(cause)
	}
	p.record(worker, requestID, cause)
	if then != nil {
		then()
	}
}

// record logs and counts a panic.
func (p *panicHandler) record(worker, requestID string, cause any) {
	p.count.Inc(1)
	p.log.Error().Str("event", "panic").Str("duty", worker).Str("request_id", requestID).
		Str("cause", fmt.Sprint(cause)).Bytes("stack", debug.Stack()).Msg("recovered from a panic")
}

// standardLog returns a logger for libraries that accept only a *log.Logger.
func (p *panicHandler) standardLog(worker string) *stdlog.Logger {
	return stdlog.New(logAdapter{p.log.With().Str("event", "library").Str("duty", worker).Logger()}, "", 0)
}

// logAdapter writes each line as a warning.
type logAdapter struct{ log zerolog.Logger }

// Write implements io.Writer.
func (a logAdapter) Write(line []byte) (int, error) {
	a.log.Warn().Msg(string(line))
	return len(line), nil
}

// unaryInterceptor turns a panic in a unary call of another host into an error
// of that call.
func (p *panicHandler) unaryInterceptor(ctx context.Context, request any, info *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (reply any, err error) {
	defer p.recoverPanic(info.FullMethod, "", func() { reply, err = nil, status.Error(codes.Internal, errUnexpected.Error()) })
	return handle(ctx, request)
}

// streamInterceptor turns a panic in a streaming call of another host into an
// error of that call.
func (p *panicHandler) streamInterceptor(server any, stream grpc.ServerStream, info *grpc.StreamServerInfo, handle grpc.StreamHandler) (err error) {
	defer p.recoverPanic(info.FullMethod, "", func() { err = status.Error(codes.Internal, errUnexpected.Error()) })
	return handle(server, stream)
}
