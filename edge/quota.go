package edge

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/scatter"
	"github.com/samphirebeam/samphirebeam/edgepb"
)

// quotaTimeout bounds an exchange of tokens. The core stops waiting before.
const quotaTimeout = 200 * time.Millisecond

// quotaReplies are the requests of other hosts for tokens that the core has not answered.
type quotaReplies struct {
	sequence atomic.Uint64
	waiting  sync.Map // of the ID to a chan scatter.QuotaReply with room for one
}

// exchangeQuotas sends the core's requests for tokens, and its replies to those of other
// hosts.
func (h *Host) exchangeQuotas(actions *scatter.Actions) {
	for _, request := range actions.QuotaRequests {
		go h.requestQuota(request)
	}
	for _, reply := range actions.QuotaReplies {
		if waiting, found := h.quotaReplies.waiting.LoadAndDelete(reply.ID); found {
			waiting.(chan scatter.QuotaReply) <- reply
		}
	}
}

// requestQuota requests tokens from another host and reports the reply to the core.
func (h *Host) requestQuota(request scatter.QuotaRequest) {
	granted := scatter.QuotaGranted{From: request.To.ID, Number: request.Number, Failed: true, Cause: "unexpected error"}
	defer h.panics.recoverPanic("quota", "", func() { h.enqueue(granted) })
	ctx, cancel := context.WithTimeout(context.Background(), quotaTimeout)
	defer cancel()
	reply, err := h.peers.quota(ctx, h.platformSettings.Host, request)
	if err != nil {
		granted.Cause, granted.Refused = err.Error(), isRefused(err)
	} else {
		granted.Failed, granted.Cause, granted.Grants = false, "", reply
	}
	h.enqueue(granted)
}

// quota requests tokens from the host at an address. A host of an older version answers
// Unimplemented, which is an error like any other.
func (p *peers) quota(ctx context.Context, self core.HostID, r scatter.QuotaRequest) ([]scatter.QuotaGrant, error) {
	client, err := p.client(r.To.Address)
	if err != nil {
		return nil, err
	}
	request := &edgepb.QuotaRequest{Host: string(self), Number: r.Number, StartedUs: r.Started, Forwarded: r.Forwarded}
	for _, want := range r.Wants {
		request.Wants = append(request.Wants, &edgepb.QuotaWant{Team: string(want.Team), Tokens: uint32(want.Tokens), Returned: uint32(want.Returned)})
	}
	reply, err := client.Quota(ctx, request)
	if err != nil {
		return nil, err
	}
	grants := make([]scatter.QuotaGrant, 0, len(reply.Grants))
	for _, g := range reply.Grants {
		grants = append(grants, scatter.QuotaGrant{
			Team: scatter.TeamID(g.Team), Tokens: int(g.Tokens), Wait: time.Duration(g.WaitUs) * time.Microsecond, Declined: g.Declined,
		})
	}
	return grants, nil
}

// isRefused reports whether the address of a host refused the connection. The library
// states the cause only in the text of its error.
func isRefused(err error) bool {
	return status.Code(err) == codes.Unavailable && strings.Contains(err.Error(), syscall.ECONNREFUSED.Error())
}

// Quota implements edgepb.EdgeServer. The core decides, so that a host whose decision
// loop is stuck does not grant tokens.
func (s *peerService) Quota(ctx context.Context, r *edgepb.QuotaRequest) (*edgepb.QuotaReply, error) {
	h := s.host
	asked := scatter.QuotaAsked{
		ID: h.quotaReplies.sequence.Add(1), From: core.HostID(r.Host), Number: r.Number, Started: r.StartedUs, Forwarded: r.Forwarded,
	}
	for _, want := range r.Wants {
		asked.Wants = append(asked.Wants, scatter.QuotaWant{Team: scatter.TeamID(want.Team), Tokens: int(want.Tokens), Returned: int(want.Returned)})
	}
	waiting := make(chan scatter.QuotaReply, 1)
	h.quotaReplies.waiting.Store(asked.ID, waiting)
	defer h.quotaReplies.waiting.Delete(asked.ID)
	if !h.tryEnqueue(asked) {
		return nil, status.Error(codes.ResourceExhausted, "the inbox is full")
	}
	select {
	case reply := <-waiting:
		return encodeQuotaReply(reply), nil
	case <-ctx.Done():
		return nil, status.FromContextError(ctx.Err()).Err()
	}
}

func encodeQuotaReply(reply scatter.QuotaReply) *edgepb.QuotaReply {
	encoded := &edgepb.QuotaReply{}
	for _, g := range reply.Grants {
		encoded.Grants = append(encoded.Grants, &edgepb.QuotaGrant{
			Team: string(g.Team), Tokens: uint32(g.Tokens), WaitUs: g.Wait.Microseconds(), Declined: g.Declined,
		})
	}
	return encoded
}
