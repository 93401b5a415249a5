package edge

import (
	"context"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/scatter"
	"github.com/samphirebeam/samphirebeam/edgepb"
)

// reportTimeout bounds a report to another host.
const reportTimeout = time.Second

// reportLimitEnd tells other hosts that an upstream's rate limit has ended. One that
// is not reached finds out by itself.
func (h *Host) reportLimitEnd(end scatter.LimitEnd) {
	for _, to := range end.To {
		go func() {
			defer h.panics.recoverPanic("limits", "", nil)
			ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
			defer cancel()
			if err := h.peers.endLimit(ctx, to.Address, end); err != nil {
				h.log.Debug().Str("event", "report_failed").Str("peer", string(to.ID)).Str("upstream", string(end.ID)).AnErr("cause", err).Msg("reporting the end of a rate limit failed")
			}
		}()
	}
}

func (p *peers) endLimit(ctx context.Context, address string, end scatter.LimitEnd) error {
	client, err := p.client(address)
	if err != nil {
		return err
	}
	_, err = client.EndLimit(ctx, &edgepb.EndLimitRequest{
		Upstream: string(end.ID), Address: end.Address, Started: end.Started,
		AgeUs: time.Since(end.At).Microseconds(), Host: string(end.By),
	})
	return err
}

// EndLimit implements edgepb.EdgeServer.
func (s *peerService) EndLimit(_ context.Context, r *edgepb.EndLimitRequest) (*edgepb.EndLimitReply, error) {
	s.host.tryEnqueue(scatter.LimitEnded{LimitEnd: scatter.LimitEnd{
		ID: core.UpstreamID(r.Upstream), Address: r.Address, Started: r.Started,
		At: time.Now().Add(-time.Duration(max(0, r.AgeUs)) * time.Microsecond), By: core.HostID(r.Host),
	}})
	return &edgepb.EndLimitReply{}, nil
}
