package configsync

import (
	"errors"
	"strconv"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
	"github.com/samphirebeam/samphirebeam/resource"
)

// applyValue applies an encoded whole document; source is its sender. A document
// that is not newer, which a watching host often receives after the delta, is not
// decoded.
func (s *Sync) applyValue(value []byte, source string, out *core.Actions) {
	if generation, ok := resource.PeekGeneration(value); ok && generation <= s.doc.Generation {
		return
	}
	doc, err := resource.DecodeDocument(value)
	if err != nil {
		s.recordInvalid(source, err, out)
		return
	}
	s.apply(doc, source, out)
}

// applyPush applies a push from a peer. It returns false if the push is a delta
// that cannot be applied to this host's generation.
func (s *Sync) applyPush(push *peerpb.ConfigPush, source string, out *core.Actions) bool {
	if push.Generation <= s.doc.Generation {
		return true
	}
	if resource.Checksum(push.Document) != push.Checksum {
		s.recordInvalid(source, core.Errorf(core.InvalidRequest, "push of generation %d has another checksum", push.Generation), out)
		return true
	}
	if push.Since == 0 {
		s.applyValue(push.Document, source, out)
		return true
	}
	return s.applyDelta(push.Document, source, out)
}

func (s *Sync) applyDelta(encoded []byte, source string, out *core.Actions) bool {
	delta, err := resource.DecodeDelta(encoded)
	if err != nil {
		s.recordInvalid(source, err, out)
		return true
	}
	doc, err := resource.Patch(s.doc, delta)
	var refused *core.Error
	if errors.As(err, &refused) && refused.Kind == core.Conflict {
		return false
	}
	if err != nil {
		s.recordInvalid(source, err, out)
		return true
	}
	s.apply(doc, source, out)
	return true
}

// apply puts a newer document in force and sends it on. An older one is ignored.
// This is the authoritative check: the earlier ones only save work, since the
// generation in a push may differ from that of its document.
func (s *Sync) apply(doc *resource.Document, source string, out *core.Actions) {
	if doc.Generation <= s.doc.Generation {
		return
	}
	since := s.doc.Generation
	s.doc, s.topology, s.topologyTaken = doc, resource.Compile(doc), false
	s.wideDigestsLeft = wideDigests
	clear(s.deltas)
	clear(s.lastPush)
	out.Add(core.Record{Topic: TopicApplied, Fields: map[string]string{
		"generation": strconv.FormatUint(doc.Generation, 10),
		"from":       strconv.FormatUint(since, 10),
		"source":     source,
	}})
	s.gossip(since, source, out)
}

// recordInvalid records a rejected document or delta, unless it repeats the
// previous rejection.
func (s *Sync) recordInvalid(source string, err error, out *core.Actions) {
	if text := source + err.Error(); text != s.lastInvalid {
		s.lastInvalid = text
		out.Add(core.Record{Topic: TopicInvalid, Fields: map[string]string{"source": source, "reason": err.Error()}})
	}
}
