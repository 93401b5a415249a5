package configsync

import (
	"slices"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
	"github.com/samphirebeam/samphirebeam/resource"
)

// sentPush is the generation last pushed to a peer, and when. It prevents the
// same document from being pushed repeatedly to a slow peer whose digests still
// carry the older generation.
type sentPush struct {
	generation uint64
	at         time.Time
}

func (s *Sync) peerMessage(now time.Time, e core.PeerMessage, out *core.Actions) {
	if e.From == s.config.Self {
		return
	}
	switch body := e.Message.Body.(type) {
	case *peerpb.Message_ConfigDigest:
		s.handleDigest(now, e.From, body.ConfigDigest.Generation, out)
	case *peerpb.Message_ConfigPush:
		if !s.applyPush(body.ConfigPush, string(e.From), out) {
			s.sendDigest(e.From, out)
		}
	}
}

// handleDigest pushes to a peer that is behind, and replies with a digest to one
// that is ahead. It replies with a digest only if this host is behind, so the
// exchange terminates.
func (s *Sync) handleDigest(now time.Time, peer core.HostID, generation uint64, out *core.Actions) {
	if generation > s.doc.Generation {
		s.sendDigest(peer, out)
		return
	}
	if generation == s.doc.Generation || s.lastPush[peer].generation == s.doc.Generation {
		return
	}
	s.lastPush[peer] = sentPush{generation: s.doc.Generation, at: now}
	out.Send(peer, pushMessage(s.pushSince(generation)))
}

// expireSentPushes allows another push to a peer after DigestEvery.
func (s *Sync) expireSentPushes(now time.Time) {
	for peer, a := range s.lastPush {
		if now.Sub(a.at) >= s.config.DigestEvery {
			delete(s.lastPush, peer)
		}
	}
}

// sendDigests sends this host's generation to n random peers.
func (s *Sync) sendDigests(n int, out *core.Actions) {
	for _, peer := range s.randomPeers(n, "") {
		s.sendDigest(peer, out)
	}
}

func (s *Sync) sendDigest(to core.HostID, out *core.Actions) {
	out.Send(to, &peerpb.Message{Body: &peerpb.Message_ConfigDigest{
		ConfigDigest: &peerpb.ConfigDigest{Generation: s.doc.Generation},
	}})
}

// gossip pushes the change to a few random peers other than its source. If no
// delta is available, it sends digests instead: a peer that needs the whole
// document replies with its own digest.
func (s *Sync) gossip(since uint64, source string, out *core.Actions) {
	push := s.pushSince(since)
	if push.Since == 0 {
		s.sendDigests(s.config.Fanout, out)
		return
	}
	message := pushMessage(push)
	for _, peer := range s.randomPeers(s.config.Fanout, core.HostID(source)) {
		out.Send(peer, message)
	}
}

// pushSince returns a push with the delta since a generation, or with the whole
// document if the recorded changes do not reach back that far.
func (s *Sync) pushSince(since uint64) *peerpb.ConfigPush {
	if push := s.deltas[since]; push != nil {
		return push
	}
	push := s.buildPush(since)
	s.deltas[since] = push
	return push
}

func (s *Sync) buildPush(since uint64) *peerpb.ConfigPush {
	push := &peerpb.ConfigPush{Generation: s.doc.Generation, Since: since}
	var err error
	if delta, ok := s.deltaSince(since); ok {
		push.Document, err = delta.Encode()
	} else {
		push.Since = 0
		push.Document, err = s.doc.Encode()
	}
	if err != nil {
		// A decoded or patched document can always be encoded; if it were not so,
		// the peer would reject the empty push.
		push.Document = nil
	}
	push.Checksum = resource.Checksum(push.Document)
	return push
}

func (s *Sync) deltaSince(since uint64) (*resource.Delta, bool) {
	if since == 0 {
		return nil, false
	}
	return resource.DiffSince(s.doc, since)
}

func pushMessage(push *peerpb.ConfigPush) *peerpb.Message {
	return &peerpb.Message{Body: &peerpb.Message_ConfigPush{ConfigPush: push}}
}

// drawsPerPeer limits the draws of randomPeers, which in a small fleet may draw
// the same host repeatedly.
const drawsPerPeer = 8

// randomPeers draws up to n distinct live hosts, excluding this host and except.
func (s *Sync) randomPeers(n int, except core.HostID) []core.HostID {
	live := s.config.Members.Live()
	if len(live) == 0 {
		return nil
	}
	peers := make([]core.HostID, 0, n)
	for range n * drawsPerPeer {
		host := live[s.config.Random.IntN(len(live))]
		if host == s.config.Self || host == except || slices.Contains(peers, host) {
			continue
		}
		if peers = append(peers, host); len(peers) == n {
			break
		}
	}
	return peers
}
