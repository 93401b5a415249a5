package edge

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/scatter"
	"github.com/samphirebeam/samphirebeam/edgepb"
	"github.com/samphirebeam/samphirebeam/platform"
)

const (
	// rolloutStoreTimeout bounds the two calls that store a decision. It is below
	// the time that the core allows for them.
	rolloutStoreTimeout = 900 * time.Millisecond
	// rolloutReportTimeout bounds a report, of which there are two in a second.
	rolloutReportTimeout = 400 * time.Millisecond
	// rolloutStoreConnections are the connections to the store for the two feeds of
	// roll-outs and for storing decisions.
	rolloutStoreConnections = 3
	// maxReportedCounts bounds the counts in a report of another host.
	maxReportedCounts = 4096
)

// storeConnections returns how many connections to the store a host may open.
func storeConnections(limits scatter.RolloutLimits) int {
	if limits.Enabled() {
		return maxStoreConnections + rolloutStoreConnections
	}
	return maxStoreConnections
}

// storeRollout stores a decision in the background and reports the result to the core.
func (h *Host) storeRollout(write scatter.RolloutWrite) {
	go func() {
		stored := scatter.RolloutStored{Service: write.Record.Service, Record: write.Record}.FailedBy(false)
		stored.Record.Revision = 0
		defer func() { h.enqueue(stored) }()
		defer h.panics.recoverPanic("rollout", "", nil)
		ctx, cancel := context.WithTimeout(platform.WithPurpose(context.Background(), platform.PurposeRollout), rolloutStoreTimeout)
		defer cancel()
		result, err := platform.StoreRollout(ctx, h.objects, write)
		stored = result
		line := h.log.Info()
		if err != nil {
			line = h.log.Warn().AnErr("cause", err)
		}
		event := "rollout_stored"
		if err != nil {
			event = "rollout_not_stored"
		}
		line.Str("event", event).Str("service", string(write.Record.Service)).Str("to_version", write.Record.Target).
			Str("phase", write.Record.Phase.String()).Str("state", string(result.State)).Str("reason", write.Record.Reason).
			Float64("confidence", write.Record.Confidence).Msg("decision on a roll-out")
	}()
}

// reportRollout sends this host's counts to another host in the background, and reports to the
// core whether that one took them.
func (h *Host) reportRollout(report scatter.RolloutReportTo) {
	go func() {
		taken := scatter.RolloutReportTaken{By: report.To.ID, Declined: true}
		defer func() { h.enqueue(taken) }()
		defer h.panics.recoverPanic("rollout", "", nil)
		ctx, cancel := context.WithTimeout(context.Background(), rolloutReportTimeout)
		defer cancel()
		declined, err := h.peers.reportRollout(ctx, report.To.Address, encodeRolloutReport(report.Report))
		if err != nil {
			h.log.Debug().Str("event", "rollout_report_failed").Str("peer", string(report.To.ID)).AnErr("cause", err).Msg("a host did not take the counts of a roll-out")
			return
		}
		taken.Declined = declined
	}()
}

func (p *peers) reportRollout(ctx context.Context, address string, report *edgepb.RolloutReport) (declined bool, err error) {
	client, err := p.client(address)
	if err != nil {
		return true, err
	}
	reply, err := client.ReportRollout(ctx, report)
	if err != nil {
		return true, eris.Wrap(err, "report") // also of an older build, which does not know the call
	}
	return reply.NotDeciding, nil
}

// ReportRollout implements edgepb.EdgeServer.
func (s *peerService) ReportRollout(_ context.Context, r *edgepb.RolloutReport) (*edgepb.RolloutReportReply, error) {
	decides := false
	if !s.host.stopping.Load() {
		s.host.decision.query(func(e *scatter.Engine) { decides = e.MayDecideRollouts() })
	}
	// A host that declines may have to decide if all others decline too.
	taken := s.host.tryEnqueue(scatter.RolloutReported{RolloutReport: decodeRolloutReport(r)})
	return &edgepb.RolloutReportReply{NotDeciding: !decides || !taken}, nil
}

func encodeRolloutReport(report scatter.RolloutReport) *edgepb.RolloutReport {
	encoded := &edgepb.RolloutReport{Host: string(report.Host)}
	for _, c := range report.Counts {
		encoded.Counts = append(encoded.Counts, &edgepb.RolloutCounts{
			Service: string(c.Key.Service), Order: c.Key.Created, Version: c.Version, Route: c.Route,
			Sends: c.Sends, Answers: c.Answers, Failures: c.Failures, Latency: c.Latency, StartedUs: report.Started,
		})
	}
	return encoded
}

func decodeRolloutReport(r *edgepb.RolloutReport) scatter.RolloutReport {
	report := scatter.RolloutReport{Host: core.HostID(r.Host)}
	for _, c := range r.Counts[:min(len(r.Counts), maxReportedCounts)] {
		report.Started = c.StartedUs
		report.Counts = append(report.Counts, scatter.VersionCounts{
			Key:     scatter.RolloutKey{Service: core.ServiceID(c.Service), Created: c.Order},
			Version: c.Version, Route: c.Route, Sends: c.Sends, Answers: c.Answers, Failures: c.Failures, Latency: c.Latency,
		})
	}
	return report
}
