// Command samphirectl is the operators' command-line client of the query tier.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/samphirebeam/samphirebeam/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := ctl.Run(ctx, os.Args[1:], ctl.Stdio())
	stop()
	os.Exit(int(code))
}
