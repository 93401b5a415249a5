package gateway

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// validate checks a query against the limits and the topology.
func (g *Gateway) validate(q *peerpb.Query) *core.Error {
	if g.planner.topology == nil {
		return core.Errorf(core.PlatformUnavailable, "no configuration has arrived yet")
	}
	if err := g.validateSizes(q); err != nil {
		return err
	}
	return g.validateTarget(q)
}

func (g *Gateway) validateSizes(q *peerpb.Query) *core.Error {
	if len(q.GetQuestion()) > g.config.MaxQuestionBytes {
		return core.Errorf(core.TooLarge, "question of %d bytes, at most %d", len(q.GetQuestion()), g.config.MaxQuestionBytes)
	}
	if q.GetLimit() > g.config.MaxItems {
		return core.Errorf(core.InvalidRequest, "limit %d, at most %d", q.GetLimit(), g.config.MaxItems)
	}
	// Compared in microseconds, since a huge value would overflow time.Duration.
	remaining := q.GetRemainingUs()
	if remaining <= 0 || remaining > g.config.MaxRemaining.Microseconds() {
		return core.Errorf(core.InvalidRequest, "deadline %d us from now, not within %v", remaining, g.config.MaxRemaining)
	}
	return nil
}

func (g *Gateway) validateTarget(q *peerpb.Query) *core.Error {
	t := g.planner.topology
	switch {
	case (q.GetScope() == "") == (q.GetService() == ""):
		return core.Errorf(core.InvalidRequest, "either a scope or a service is needed")
	case q.GetService() != "" && t.Services[core.ServiceID(q.GetService())] == nil:
		return core.Errorf(core.UnknownName, "service %q", q.GetService())
	case q.GetScope() != "" && t.Scopes[core.ScopeID(q.GetScope())] == nil:
		return core.Errorf(core.UnknownName, "scope %q", q.GetScope())
	}
	return nil
}

// fingerprintOf hashes the fields that must be equal for requests to share an
// answer.
func fingerprintOf(q *peerpb.Query) core.Fingerprint {
	var limit [4]byte
	binary.LittleEndian.PutUint32(limit[:], q.GetLimit())
	return core.FingerprintOf(
		[]byte(q.GetRights()), []byte(q.GetScope()), []byte(q.GetService()), q.GetQuestion(), limit[:])
}

// quarantineKeyOf identifies a question for the quarantine. Rights and limit
// are left out, since a question that crashes an upstream does so whatever
// they are.
func quarantineKeyOf(q *peerpb.Query) []byte {
	f := core.FingerprintOf([]byte(q.GetScope()), []byte(q.GetService()), q.GetQuestion())
	return f[:]
}

// sameQuestion compares the fields that fingerprintOf hashes.
func sameQuestion(a, b *peerpb.Query) bool {
	return a.GetRights() == b.GetRights() &&
		a.GetScope() == b.GetScope() &&
		a.GetService() == b.GetService() &&
		a.GetLimit() == b.GetLimit() &&
		string(a.GetQuestion()) == string(b.GetQuestion())
}

// homeOf selects a question's home by rendezvous hashing over the live hosts.
// Live returns them sorted; of equal weights the first host wins.
func (g *Gateway) homeOf(f core.Fingerprint) core.HostID {
	home := g.config.Self
	var best uint64
	var buffer [128]byte
	for _, host := range g.config.Members.Live() {
		key := append(append(buffer[:0], f[:]...), host...)
		weight := xxhash.Sum64(key)
		if weight > best {
			home, best = host, weight
		}
	}
	return home
}

// refusal returns the reply to a request that is not run.
func (g *Gateway) refusal(kind core.Kind, retryAfter time.Duration, detail string) *peerpb.QueryReply {
	reply := &peerpb.QueryReply{Kind: int32(kind), Ran: int32(core.NotRun), Detail: detail}
	reply.RetryAfterUs = g.retryAfterFor(kind, retryAfter).Microseconds()
	return reply
}

// retryAfterFor returns the retry delay to send with a kind of failure: the
// estimate if there is one, else the default. It is 0 for kinds that carry no
// retry delay.
func (g *Gateway) retryAfterFor(kind core.Kind, known time.Duration) time.Duration {
	switch {
	case !core.AnswerTo(kind).HasRetryAfter:
		return 0
	case known > 0:
		return known
	default:
		return g.config.DefaultRetryAfter
	}
}
