// Package peerlink carries messages between hosts, in batches over one gRPC
// stream for each ordered pair of hosts.
//
// A message is sent at most once. Messages that are queued or in flight when a
// stream breaks are lost and are never resent; the loss is reported through
// Config.Lost.
package peerlink

import (
	"time"

	"google.golang.org/grpc/credentials"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// Config configures the links of one host.
type Config struct {
	Host        core.HostID
	Incarnation uint64
	// Address is the "ip:port" to listen on.
	Address string
	// Queue is the maximum number of messages queued for one peer.
	Queue int
	// Batch is the maximum number of messages in one batch.
	Batch int
	// ConnectTimeout limits one attempt to open a stream.
	ConnectTimeout time.Duration
	// BackoffMin and BackoffMax bound the exponential backoff between attempts
	// to open a stream. It uses full jitter.
	BackoffMin, BackoffMax time.Duration
	// Delay adds a one-way delay to each message; for measurements only.
	Delay time.Duration
	// ServerCredentials and ClientCredentials enable TLS if set.
	ServerCredentials, ClientCredentials credentials.TransportCredentials
	// Receive is called for each message from a peer. It may block; flow
	// control then slows the peer down.
	Receive func(from core.HostID, incarnation uint64, m *peerpb.Message)
	// Lost is called when messages from or to a peer may have been lost.
	Lost func(core.HostID)
}

// Defaults for zero fields of Config.
const (
	defaultQueue          = 8192
	defaultBatch          = 64
	defaultConnectTimeout = 500 * time.Millisecond
	defaultBackoffMin     = 20 * time.Millisecond
	defaultBackoffMax     = time.Second
)

// Sizes in bytes. A sender closes a batch once it has reached batchBytes; a
// receiver refuses batches above maxBatchBytes. windowBytes is the initial HTTP/2
// flow-control window of streams and connections.
const (
	batchBytes    = 256 << 10
	maxBatchBytes = 16 << 20
	windowBytes   = 1 << 20
)

func (c *Config) fillDefaults() {
	if c.Queue == 0 {
		c.Queue = defaultQueue
	}
	if c.Batch == 0 {
		c.Batch = defaultBatch
	}
	if c.ConnectTimeout == 0 {
		c.ConnectTimeout = defaultConnectTimeout
	}
	if c.BackoffMin == 0 {
		c.BackoffMin = defaultBackoffMin
	}
	if c.BackoffMax == 0 {
		c.BackoffMax = defaultBackoffMax
	}
}
