package ctl

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/samphirebeam/samphirebeam/api/operator"
)

// pollInterval is the time between two status requests.
const pollInterval = 200 * time.Millisecond

// waitInForce waits until a generation is in force on every live host.
func (a *app) waitInForce(ctx context.Context, c *client, generation uint64, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	started := time.Now()
	lagging := []string{"no host answered yet"}
	for {
		var status operator.Status
		if err := c.get(ctx, "/v1/status", &status); err == nil {
			var live int
			lagging, live = laggingHosts(status, generation)
			a.printProgress(generation, live-len(lagging), live)
			if live > 0 && len(lagging) == 0 {
				a.printf("generation %d in force on all %d hosts after %v\n", generation, live, time.Since(started).Round(time.Millisecond))
				return nil
			}
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return &exitError{ExitNotInForce, fmt.Sprintf("accepted, but generation %d is not in force after %v on: %s", generation, timeout, strings.Join(lagging, ", "))}
		}
	}
}

func laggingHosts(status operator.Status, generation uint64) (lagging []string, live int) {
	for _, h := range status.Hosts {
		if h.State != operator.HostAlive {
			continue
		}
		live++
		if h.Generation < generation {
			lagging = append(lagging, h.Host)
		}
	}
	return lagging, live
}

// printProgress shows on how many live hosts a generation is in force. It
// prints to a terminal only.
func (a *app) printProgress(generation uint64, inForce, live int) {
	if !a.io.Terminal {
		return
	}
	end := ""
	if inForce == live {
		end = "\n"
	}
	_, _ = fmt.Fprintf(a.io.Err, "\rgeneration %d in force on %d of %d hosts%s", generation, inForce, live, end)
}
