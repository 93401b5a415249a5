package core

import (
	"crypto/sha256"
	"encoding/binary"
	"strconv"
)

// HostID identifies a host of the system.
type HostID string

// DomainID identifies a failure domain.
type DomainID string

// UpstreamID identifies one upstream server.
type UpstreamID string

// ServiceID identifies a service: one shard of the index, or the target of plain
// calls. Several upstreams serve it.
type ServiceID string

// ScopeID identifies a declared scope.
type ScopeID string

// AttemptID identifies one attempt at a sub-query. It is unique across all hosts as
// long as no host reuses an incarnation.
type AttemptID struct {
	Host        HostID
	Incarnation uint64
	Sequence    uint64
}

// AppendTo appends "host/incarnation/sequence" to b.
func (a AttemptID) AppendTo(b []byte) []byte {
	b = append(b, a.Host...)
	b = append(b, '/')
	b = strconv.AppendUint(b, a.Incarnation, 10)
	b = append(b, '/')
	return strconv.AppendUint(b, a.Sequence, 10)
}

// String returns "host/incarnation/sequence", as upstreams echo it.
func (a AttemptID) String() string { return string(a.AppendTo(nil)) }

// CallID identifies an open caller request on this host.
type CallID uint64

// Fingerprint identifies a question independently of its caller.
type Fingerprint [16]byte

// FingerprintOf hashes the parts of a question. Each part is prefixed with its
// length, so that different lists of parts do not collide by concatenation.
func FingerprintOf(parts ...[]byte) Fingerprint {
	h := sha256.New()
	var length [8]byte
	for _, part := range parts {
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write(part)
	}
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}
