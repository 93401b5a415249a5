package edge

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/samphirebeam/samphirebeam/core/scatter"
	"github.com/samphirebeam/samphirebeam/edgepb"
	"github.com/samphirebeam/samphirebeam/platform"
)

// FuzzRelayMessages decodes arbitrary messages of other hosts at both ends of a
// relay stream, and as handed-over requests.
func FuzzRelayMessages(f *testing.F) {
	seed := func(m proto.Message) {
		data, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	seed(&edgepb.RelayRequest{Id: 1, Top: -1, LeftUs: -1, Targets: []*edgepb.RelayTarget{{Ref: 1, Upstream: "u"}, {Ref: 9}}})
	seed(&edgepb.RelayReply{Id: 1, Part: &edgepb.RelayedPart{Index: -1, Outcome: 99, TookUs: -1}})
	seed(&edgepb.RelayReply{Id: 1, Part: &edgepb.RelayedPart{Outcome: int32(scatter.Succeeded)}})
	seed(&edgepb.RunRequest{Method: "GET", Target: "?", SpentUs: -1})
	f.Fuzz(func(t *testing.T, data []byte) {
		var request edgepb.RelayRequest
		if proto.Unmarshal(data, &request) == nil {
			stream := &relayStream{targets: map[uint32]scatter.Send{}}
			for _, send := range stream.decode(&request) {
				if send.Top < 0 {
					t.Errorf("top %d", send.Top)
				}
			}
		}
		var reply edgepb.RelayReply
		if proto.Unmarshal(data, &reply) == nil {
			var got []scatter.AttemptEnded
			link := &relayLink{calls: map[uint64]*relayCall{}, report: func(r scatter.AttemptEnded) { got = append(got, r) }}
			call := &relayCall{id: 1, sends: make([]scatter.Send, 2), ended: make([]bool, 2), remaining: 2, deadlineTimer: time.NewTimer(time.Hour)}
			link.calls[1] = call
			link.handleReply(&reply)
			for _, r := range got {
				_ = r.Outcome.String()
				if part, whole := r.Payload.(*platform.Reply); r.Outcome == scatter.Succeeded && !whole {
					t.Errorf("a success without a part: %+v", part)
				}
			}
		}
		var run edgepb.RunRequest
		if proto.Unmarshal(data, &run) == nil {
			decodeRun(&run)
		}
	})
}
