package daemon

import (
	"strings"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/settings"
)

// perform executes one action of the core. It runs on the decision loop and must
// not block.
func (d *Daemon) perform(action core.Action) {
	switch a := action.(type) {
	case core.AnswerCaller:
		count(d.metrics.answers, core.Kind(a.Reply.Kind))
		d.calls.answer(a.Call, a.Reply)
	case core.SendPeer:
		d.send(a)
	case core.Dispatch:
		d.upstreams.Dispatch(a)
	case core.CancelDispatch:
		d.upstreams.Cancel(a)
	case core.OpenConns:
		d.upstreams.OpenConns(a)
	case core.CloseConns:
		d.upstreams.CloseConns(a)
	case core.PlatformCall, core.WatchObject, core.ListHosts:
		d.queuePlatformCall(a)
	case core.Record:
		d.records.queue.Put(a)
	case core.Stopped:
		close(d.stopped)
	}
}

func (d *Daemon) send(a core.SendPeer) {
	if a.To == d.decision.self {
		d.decision.localEvents = append(d.decision.localEvents, core.PeerMessage{
			From:        a.To,
			Incarnation: d.cfg.Incarnation,
			Message:     a.Message,
		})
		return
	}
	if d.link.Send(a.To, a.Message) {
		return
	}
	if d.decision.handleUnsent(a.To, a.Message) {
		d.link.Reset(a.To)
	}
}

// queuePlatformCall queues a platform call. If the queue is full, the call fails
// with PlatformUnavailable, although it was certainly not made: the core has no
// separate kind for that.
func (d *Daemon) queuePlatformCall(action core.Action) {
	if d.platform.calls.Put(action) {
		return
	}
	if call, ok := action.(core.PlatformCall); ok {
		d.decision.localEvents = append(d.decision.localEvents, core.PlatformReply{
			Operation: call.Operation,
			Kind:      core.PlatformUnavailable,
		})
	}
}

// Seeds returns the seed hosts of the settings, without this host itself.
func Seeds(s settings.Settings) []core.HostInfo {
	var seeds []core.HostInfo
	for _, seed := range s.Peer.Seeds {
		host, address, _ := strings.Cut(seed, "=")
		if host == s.Host {
			continue // all hosts may share the same seed list
		}
		seeds = append(seeds, core.HostInfo{Host: core.HostID(host), Address: address})
	}
	return seeds
}
