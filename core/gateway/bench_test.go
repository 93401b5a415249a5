package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
	"github.com/samphirebeam/samphirebeam/plugin/expected"
	"github.com/samphirebeam/samphirebeam/plugin/leastwait"
	"github.com/samphirebeam/samphirebeam/plugin/quantile"
)

// BenchmarkDecision runs queries from the caller's request to its answer and
// reports the gateway's processing time per sub-query.
func BenchmarkDecision(b *testing.B) {
	for _, fanOut := range []int{1, 20, 68} {
		b.Run(fmt.Sprintf("services=%d", fanOut), func(b *testing.B) {
			h := newHarness(b, fanOut, func(c *Config) {
				c.Router = leastwait.New()
				c.Hedger = quantile.New(quantile.Options{Quantile: 0.95, Window: 1000, MinObservations: 50})
				c.Admission = &expected.Expected{Factor: 1}
			})
			q := h.query("h0", "plate", 10)
			replies := make([]*peerpb.SubReply, 0, fanOut)
			b.ReportAllocs()
			for call := core.CallID(1); b.Loop(); call++ {
				h.out.Reset()
				h.g.Step(h.now, core.CallerRequest{Call: call, Query: q}, &h.out)
				replies = replies[:0]
				for _, action := range h.out.List {
					replies = append(replies, h.benchmarkReply(action.(core.SendPeer)))
				}
				h.now = h.now.Add(5 * time.Millisecond)
				for _, reply := range replies {
					host := core.HostID("o" + reply.Upstream[len(reply.Upstream)-1:])
					message := &peerpb.Message{Body: &peerpb.Message_SubReply{SubReply: reply}}
					h.g.Step(h.now, core.PeerMessage{From: host, Message: message}, &h.out)
				}
				if _, answered := h.out.List[len(h.out.List)-1].(core.AnswerCaller); !answered {
					b.Fatal("no answer")
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*fanOut), "ns/sub-query")
		})
	}
}

func (h *harness) benchmarkReply(sent core.SendPeer) *peerpb.SubReply {
	reply := h.successReply(sent.Message.GetSubQuery())
	reply.Load = &peerpb.Load{Upstream: reply.Upstream, Running: 1, Limit: 2}
	for i := uint64(1); i < 10; i++ {
		reply.Items = append(reply.Items, &peerpb.Item{Key: reply.Items[0].Key + i, Score: -float64(i)})
	}
	return reply
}

// BenchmarkMerge merges the sorted items of 20 shards.
func BenchmarkMerge(b *testing.B) {
	for _, items := range []int{10, 100} {
		b.Run(fmt.Sprintf("items=%d", items), func(b *testing.B) {
			lists := make([][]*peerpb.Item, 20)
			for shard := range lists {
				for i := range items {
					lists[shard] = append(lists[shard], &peerpb.Item{Key: uint64(shard*1000 + i), Score: -float64(i*20 + shard)})
				}
			}
			heads := make([][]*peerpb.Item, len(lists))
			b.ReportAllocs()
			for b.Loop() {
				copy(heads, lists)
				if len(mergeItems(heads, items)) != items {
					b.Fatal("merged items are missing")
				}
			}
		})
	}
}
