package audit

import (
	"context"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/ThreeDotsLabs/watermill/pubsub/gochannel"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
)

// busBuffer is the buffer size per subscriber, in messages.
const busBuffer = 256

// NewBus returns an in-process event bus. It is meant for rare events such as
// configuration changes; queries do not pass through it.
func NewBus() *gochannel.GoChannel {
	return gochannel.NewGoChannel(gochannel.Config{OutputChannelBuffer: busBuffer}, watermill.NopLogger{})
}

// LogTo writes each published entry to the log until the context ends or the bus
// is closed. It subscribes before it returns and writes in the background.
func LogTo(ctx context.Context, bus message.Subscriber, log zerolog.Logger) error {
	for _, topic := range []string{TopicAccepted, TopicRefused} {
		messages, err := bus.Subscribe(ctx, topic)
		if err != nil {
			return eris.Wrap(err, "subscribe to "+topic)
		}
		go writeLog(messages, log.With().Str("topic", topic).Logger())
	}
	return nil
}

func writeLog(messages <-chan *message.Message, log zerolog.Logger) {
	for m := range messages {
		log.Info().RawJSON("entry", m.Payload).Msg("configuration change")
		m.Ack()
	}
}
