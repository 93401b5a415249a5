package peerlink

import (
	"syscall"
	"testing"
	"time"
)

// processorTime returns the CPU time that this process has used, which includes
// both ends of the links.
func processorTime(tb testing.TB) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		tb.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
