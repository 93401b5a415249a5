package peerlink

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/samphirebeam/samphirebeam/peerpb"
)

// minQueueTime is the shortest time in the queue that is deducted. Shorter ones
// are ignored.
const minQueueTime = time.Millisecond

// deductQueueTime reduces the remaining time of a request by the time that the
// request spent in the queue. It returns a modified copy, since the message may
// be shared.
func deductQueueTime(m *peerpb.Message, queueTime time.Duration) *peerpb.Message {
	if queueTime < minQueueTime {
		return m
	}
	switch body := m.Body.(type) {
	case *peerpb.Message_SubQuery:
		q := proto.CloneOf(body.SubQuery)
		q.RemainingUs -= queueTime.Microseconds()
		return &peerpb.Message{Body: &peerpb.Message_SubQuery{SubQuery: q}}
	case *peerpb.Message_Query:
		q := proto.CloneOf(body.Query)
		q.RemainingUs -= queueTime.Microseconds()
		return &peerpb.Message{Body: &peerpb.Message_Query{Query: q}}
	default:
		return m
	}
}
