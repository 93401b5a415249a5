package peerlink

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/samphirebeam/samphirebeam/peerpb"
)

// ageFloor is the wait below which a message's time left is not corrected.
const minQueueTime = time.Millisecond

// aged takes the wait in the queue off the time that a request has left. The
// message itself is shared and stays as it is.
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
