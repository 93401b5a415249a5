// Package upstream implements the HTTP/1.1 client for upstreams. Each
// connection carries one request at a time, and the decision core accounts for
// every connection.
//
// The client uses the request and response codec of net/http over its own
// connections instead of http.Transport. The Transport resends a request when
// a reused connection breaks and the request looks safe to repeat; whether an
// attempt may be repeated is for the decision core to decide.
package upstream

import (
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// Client runs attempts on upstreams. Its methods do not block and may be
// called from any goroutine.
type Client interface {
	// Dispatch starts one attempt, which ends with exactly one
	// core.UpstreamReply.
	Dispatch(core.Dispatch)
	// Cancel closes the connection of a running attempt.
	Cancel(core.CancelDispatch)
	// OpenConns opens idle connections until Want are open in total, but never
	// more than the upstream's Connections. Each is reported as
	// core.UpstreamConn.
	OpenConns(core.OpenConns)
	// CloseConns closes idle connections.
	CloseConns(core.CloseConns)
	// Close cancels running attempts and closes all connections.
	Close()
}

// Config describes an HTTP client.
type Config struct {
	// Report receives replies and connection events. It is called from several
	// goroutines and may block.
	Report func(core.Event)
	// ConnectTimeout limits how long opening a connection may take.
	ConnectTimeout time.Duration
	// MaxBody is the largest answer body, in bytes.
	MaxBody int64
}

// Defaults for zero fields of Config.
const (
	defaultConnectTimeout = 500 * time.Millisecond
	defaultMaxBody        = 4 << 20
)

func (c *Config) fillDefaults() {
	if c.ConnectTimeout == 0 {
		c.ConnectTimeout = defaultConnectTimeout
	}
	if c.MaxBody == 0 {
		c.MaxBody = defaultMaxBody
	}
}
