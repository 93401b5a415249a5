// Package signals handles the signals of a server process from its initialization to its
// end. A signal whose handler is registered late or removed early takes its default
// action meanwhile, which ends the process and cuts off its requests.
//
// The package imports little, so that it is initialized before most others.
package signals

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

var reloads = make(chan os.Signal, 1)

func init() {
	signal.Notify(reloads, syscall.SIGHUP)
	// Otherwise a write to a log whose reader is gone ends the process.
	signal.Ignore(syscall.SIGPIPE)
}

// Reloads receives a value after each SIGHUP, or one after several. It may have one
// from before the call.
func Reloads() <-chan os.Signal { return reloads }

// StopContext returns a context that ends with the first SIGTERM or SIGINT. Further ones
// have no effect, so that they do not cut a planned stop short.
func StopContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	stops := make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-stops
		cancel()
	}()
	return ctx
}
