package edge

import (
	"context"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/scatter"
	"github.com/samphirebeam/samphirebeam/platform"
)

const (
	// beatEvery is the time between two heartbeats of a host in the store while
	// the tier is small; it grows with the tier, so that all hosts together
	// make at most 1/beatSpacing calls a second.
	beatEvery   = 15 * time.Second
	beatSpacing = 100 * time.Millisecond
	// missedBeats heartbeats without a change, as read by this host, end
	// another host's share of the budgets.
	missedBeats = 4
	// firstBeatRetry is the pause after a heartbeat that failed.
	firstBeatRetry = 2 * time.Second
)

// roster is the duty that counts the hosts that share the tier's budgets. A
// host that is counted too long only leaves its share unused.
type roster struct {
	objects *platform.Objects
	self    platform.HostRecord
	report  func(scatter.Event)
	log     zerolog.Logger

	seen    map[core.HostID]seenHost
	current []core.HostID
}

// seenHost is the record of a host as read last, and how many reads ago it
// changed.
type seenHost struct {
	incarnation, beat uint64
	unchanged         int
}

func (r *roster) run(ctx context.Context) {
	r.seen = map[core.HostID]seenHost{}
	for ctx.Err() == nil {
		wait := r.interval()
		if err := r.beat(ctx); err != nil {
			r.log.Warn().Str("event", "heartbeat_failed").AnErr("cause", err).Msg("the hosts are counted as before")
			wait = firstBeatRetry
		}
		pause(ctx, wait)
	}
}

// interval is short until all hosts that start together can be seen; the first
// read counts for nothing, since they may not have registered.
func (r *roster) interval() time.Duration {
	if r.self.Beat == 0 {
		return firstBeatRetry
	}
	return max(beatEvery, time.Duration(len(r.current))*beatSpacing)
}

// beat writes this host's record and reads all.
func (r *roster) beat(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	if err := platform.PutHost(ctx, r.objects, r.self); err != nil {
		return err
	}
	r.self.Beat++
	records, problems, err := platform.Hosts(ctx, r.objects)
	if err != nil {
		return err
	}
	for _, problem := range problems {
		r.log.Warn().Str("event", "entry_ignored").AnErr("cause", problem).Msg("a host record names no host")
	}
	r.take(records)
	return nil
}

// take counts the hosts whose records still change.
func (r *roster) take(records []platform.HostRecord) {
	hosts := []core.HostID{r.self.Host}
	for _, record := range records {
		if record.Host == r.self.Host {
			continue
		}
		known, found := r.seen[record.Host]
		if !found || known.incarnation != record.Incarnation || known.beat != record.Beat {
			known = seenHost{incarnation: record.Incarnation, beat: record.Beat}
		} else {
			known.unchanged++
		}
		r.seen[record.Host] = known
		if known.unchanged < missedBeats {
			hosts = append(hosts, record.Host)
		}
	}
	slices.Sort(hosts)
	if r.self.Beat > 1 && !slices.Equal(hosts, r.current) {
		r.current = hosts
		r.report(scatter.HostsSeen{Hosts: hosts})
	}
}
