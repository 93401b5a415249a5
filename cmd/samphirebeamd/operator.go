package main

import (
	"context"
	"encoding/hex"
	"net/http"
	"os"
	"time"

	"github.com/ThreeDotsLabs/watermill/pubsub/gochannel"
	"github.com/rs/zerolog"

	"github.com/samphirebeam/samphirebeam/api/operator"
	"github.com/samphirebeam/samphirebeam/audit"
	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/host"
	"github.com/samphirebeam/samphirebeam/core/member"
	"github.com/samphirebeam/samphirebeam/daemon"
	"github.com/samphirebeam/samphirebeam/platform"
	"github.com/samphirebeam/samphirebeam/resource"
	"github.com/samphirebeam/samphirebeam/settings"
)

// coreQueryTimeout bounds how long a request waits for the decision core.
const coreQueryTimeout = 2 * time.Second

// newTrail starts the audit trail, which runs until ctx ends.
func newTrail(ctx context.Context, s settings.Settings, store platform.Store, bus *gochannel.GoChannel) (*audit.Trail, error) {
	log := zerolog.New(os.Stderr).With().Timestamp().Str("host", s.Host).Str("failure_domain", s.FailureDomain).Logger()
	trail := audit.New(audit.Config{Store: store, Publisher: bus, Log: log})
	if err := audit.LogTo(ctx, bus, log); err != nil {
		return nil, err
	}
	go trail.Run(ctx)
	return trail, nil
}

// newOperator returns the resource API of the running host.
func newOperator(store platform.Store, trail *audit.Trail, port daemon.Port) http.Handler {
	return operator.New(operator.Config{
		Store: store,
		Trail: trail,
		Accepted: func(document []byte, version uint64) {
			port.Report(core.PlatformChanged{Key: core.ConfigKey, Version: version, Value: document})
		},
		InForce: func() *resource.Document { return documentInForce(port) },
		Status:  func() (operator.Status, error) { return operatorStatus(port) },
	})
}

// queryCore runs read in the goroutine of the decision core, which owns the
// core's state, and waits until read has returned or coreQueryTimeout has passed.
func queryCore(port daemon.Port, read func(*host.Host)) error {
	ctx, cancel := context.WithTimeout(context.Background(), coreQueryTimeout)
	defer cancel()
	return port.Ask(ctx, func(d daemon.Decider) { read(d.(*host.Host)) })
}

func documentInForce(port daemon.Port) *resource.Document {
	result := make(chan *resource.Document, 1)
	if err := queryCore(port, func(h *host.Host) { result <- h.Document() }); err != nil {
		return nil
	}
	return <-result
}

func operatorStatus(port daemon.Port) (operator.Status, error) {
	result := make(chan host.Status, 1)
	if err := queryCore(port, func(h *host.Host) { result <- h.Status(time.Now()) }); err != nil {
		return operator.Status{}, err
	}
	return toOperatorStatus(<-result), nil
}

// toOperatorStatus converts the core's status to the operator API's.
func toOperatorStatus(s host.Status) operator.Status {
	var out operator.Status
	for _, generation := range s.Generations {
		out.Generation = max(out.Generation, generation)
	}
	self := operator.HostStatus{
		Host: string(s.Host), Domain: string(s.Domain), State: "alive", Generation: s.Generation,
	}
	if s.Stopping {
		self.State = "stopping"
	}
	self.Lags = s.Generation < out.Generation
	out.Hosts = append(out.Hosts, self)
	for _, m := range s.Members {
		out.Hosts = append(out.Hosts, toHostStatus(m, out.Generation))
	}
	for _, share := range s.Shares {
		out.Shares = append(out.Shares, operator.Share{
			Upstream: string(share.Upstream), Owner: string(share.Owner), Epoch: share.Epoch,
		})
	}
	for _, cold := range s.Cold {
		out.Cold = append(out.Cold, operator.Cold{Upstream: string(cold.Upstream), Limit: cold.Limit})
	}
	for _, q := range s.Quarantine {
		out.Quarantine = append(out.Quarantine, operator.Quarantine{
			Fingerprint: hex.EncodeToString(q.Fingerprint[:]), LeftMs: q.Left.Milliseconds(),
		})
	}
	return out
}

func toHostStatus(m member.HostStatus, newest uint64) operator.HostStatus {
	return operator.HostStatus{
		Host:       string(m.Host),
		Domain:     string(m.Domain),
		Address:    m.Address,
		State:      m.State.String(),
		Generation: m.ConfigGeneration,
		Lags:       m.State == member.Alive && m.ConfigGeneration < newest,
	}
}
