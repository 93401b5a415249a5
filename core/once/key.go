package once

import (
	"encoding/hex"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// issueTime returns the issue time in a request id, in Unix milliseconds; false
// if the id is not a UUIDv7 (RFC 9562, section 5.7).
func issueTime(requestID string) (int64, bool) {
	id, err := uuid.Parse(requestID)
	if err != nil || id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return 0, false
	}
	var ms int64
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return ms, true
}

// canonical returns the canonical form of a UUID, so that resends that format
// it differently are recognized as the same request.
func canonical(requestID string) string {
	if id, err := uuid.Parse(requestID); err == nil {
		return id.String()
	}
	return requestID
}

func (g *Guard) partitionOf(requestID string) *partition {
	at := xxhash.Sum64String(requestID) % uint64(len(g.partitions))
	return g.partitions[at]
}

// homeOf returns the live host with the highest rendezvous weight for a
// partition; false if no host is live.
func (g *Guard) homeOf(p *partition) (core.HostID, bool) {
	var home core.HostID
	var best uint64
	for _, host := range g.cfg.Members.Live() {
		weight := xxhash.Sum64String(p.key + "\x00" + string(host))
		if home == "" || weight > best {
			home, best = host, weight
		}
	}
	return home, home != ""
}

// fingerprintOf identifies the content of a request, so that reuse of an id for
// a different request is refused.
func fingerprintOf(q *peerpb.Query) core.Fingerprint {
	limit := strconv.FormatUint(uint64(q.Limit), 10)
	return core.FingerprintOf([]byte(q.Service), []byte(q.Scope), []byte(q.Rights), []byte(limit), q.Question)
}

// claimKey returns the platform key of the claim on a request id without an
// issue time.
func claimKey(requestID string) string {
	hash := core.FingerprintOf([]byte(requestID))
	return core.ClaimKeyPrefix + hex.EncodeToString(hash[:])
}
