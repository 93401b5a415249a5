package daemon

import (
	"context"
	"encoding/json"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/ThreeDotsLabs/watermill/pubsub/gochannel"
	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/ring"
)

// Topic and buffer sizes of the record bus.
const (
	recordTopic     = "records"
	recordBuffer    = 256
	recordBatchSize = 64
	topicKey        = "topic"
)

// records writes records of infrequent events (configuration, membership,
// leases, quarantine) to the log, through an event bus. Queries are not recorded.
type records struct {
	queue *ring.Ring[core.Record]
	bus   *gochannel.GoChannel
	log   zerolog.Logger
}

func newRecords(capacity int, log zerolog.Logger) *records {
	return &records{
		queue: ring.NewDropping(capacity, func(core.Record) bool { return true }),
		bus:   gochannel.NewGoChannel(gochannel.Config{OutputChannelBuffer: recordBuffer}, watermill.NopLogger{}),
		log:   log,
	}
}

// run publishes records until the queue is closed and empty.
func (r *records) run() {
	batch := make([]core.Record, 0, recordBatchSize)
	for {
		batch = r.queue.Drain(batch[:0])
		for _, record := range batch {
			r.publish(record)
		}
		if len(batch) > 0 {
			continue
		}
		if r.queue.Closed() {
			_ = r.bus.Close()
			return
		}
		<-r.queue.Ready()
	}
}

func (r *records) publish(record core.Record) {
	payload, err := json.Marshal(record.Fields)
	if err != nil {
		r.log.Error().Err(err).Msg("record")
		return
	}
	m := message.NewMessage(uuid.NewString(), payload)
	m.Metadata.Set(topicKey, record.Topic)
	if err := r.bus.Publish(recordTopic, m); err != nil {
		r.log.Error().Err(err).Msg("publish record")
	}
}

// writeLog writes each record that is received from the bus as a log line.
func (r *records) writeLog(messages <-chan *message.Message) {
	for m := range messages {
		fields := map[string]string{}
		if err := json.Unmarshal(m.Payload, &fields); err != nil {
			r.log.Error().Err(err).Msg("record")
		}
		line := r.log.Info().Str(topicKey, m.Metadata.Get(topicKey))
		for name, value := range fields {
			line.Str(name, value)
		}
		line.Msg("record")
		m.Ack()
	}
}

func (r *records) subscribe() (<-chan *message.Message, error) {
	return r.bus.Subscribe(context.Background(), recordTopic)
}
