package caller

import (
	"encoding/json"
	"fmt"
	"math"
	"math/big"
	"net/http"
	"strconv"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// Answer is the body of a successful answer.
type Answer struct {
	RequestID string `json:"request_id"`
	// Snapshot is the index version on which the whole answer is based; 0 for a
	// plain call.
	Snapshot uint64   `json:"snapshot"`
	Results  []Result `json:"results"`
	// Payload is the answer of a plain call.
	Payload  []byte    `json:"payload,omitempty"`
	Coverage *Coverage `json:"coverage,omitempty"`
	Shards   []Shard   `json:"shards"`
	// Shared is true if one run served several callers.
	Shared bool `json:"shared"`
	// Attempts is the number of sub-queries sent, including the hedges and
	// retries that Extra counts.
	Attempts uint32 `json:"attempts"`
	Extra    uint32 `json:"extra"`
}

// Result is one item of an answer.
type Result struct {
	Key   uint64  `json:"key"`
	Score float64 `json:"score"`
	Value []byte  `json:"value"`
}

// Range is the half-open range [From, To) of index keys; To = 0 stands for the
// end of the key space.
type Range struct {
	From uint64 `json:"from"`
	To   uint64 `json:"to"`
}

// Coverage is the part of the wanted key ranges that the answer covers.
type Coverage struct {
	Wanted  []Range `json:"wanted"`
	Covered []Range `json:"covered"`
	// Fraction is the fraction of the wanted keys that is covered, from 0 to 1. It
	// is rounded down, so that 1 means all keys.
	Fraction float64 `json:"fraction"`
	// ReachMet is true if the answer meets the reach that the scope declares.
	ReachMet bool `json:"reach_met"`
}

// Shard is the outcome of one service's part of a query.
type Shard struct {
	Service   string  `json:"service"`
	Wanted    []Range `json:"wanted,omitempty"`
	Covered   []Range `json:"covered,omitempty"`
	Kind      string  `json:"kind"`
	Upstream  string  `json:"upstream,omitempty"`
	Attempts  uint32  `json:"attempts"`
	LatencyUs int64   `json:"latency_us"`
}

// Failure is the body of an error answer. Ran is "not run", "run" or "unknown".
type Failure struct {
	RequestID    string    `json:"request_id,omitempty"`
	Kind         string    `json:"kind"`
	Detail       string    `json:"detail"`
	Ran          string    `json:"ran"`
	MayRepeat    bool      `json:"may_repeat"`
	RetryAfterMs int64     `json:"retry_after_ms"`
	Snapshot     uint64    `json:"snapshot,omitempty"`
	Coverage     *Coverage `json:"coverage,omitempty"`
	Shards       []Shard   `json:"shards,omitempty"`
}

func writeReply(w http.ResponseWriter, q *peerpb.Query, reply *peerpb.QueryReply) {
	kind := core.Kind(reply.Kind)
	if kind == core.OK {
		writeJSON(w, http.StatusOK, answerOf(q, reply))
		return
	}
	row := core.AnswerTo(kind)
	failure := Failure{
		RequestID:    q.RequestId,
		Kind:         row.Name,
		Detail:       reply.Detail,
		Ran:          core.Ran(reply.Ran).String(),
		MayRepeat:    row.MayRepeat,
		RetryAfterMs: (reply.RetryAfterUs + 999) / 1000,
		Snapshot:     reply.IndexVersion,
		Coverage:     coverageOf(reply),
		Shards:       shardsOf(reply),
	}
	writeFailure(w, row.Status, failure)
}

func writeError(w http.ResponseWriter, e *core.Error) {
	writeErrorAs(w, core.AnswerTo(e.Kind).Status, e)
}

func writeErrorAs(w http.ResponseWriter, status int, e *core.Error) {
	row := core.AnswerTo(e.Kind)
	failure := Failure{Kind: row.Name, Detail: e.Detail, Ran: core.NotRun.String(), MayRepeat: row.MayRepeat}
	if row.HasRetryAfter {
		failure.RetryAfterMs = retryAfterMs
	}
	writeFailure(w, status, failure)
}

// retryAfterMs is the time after which to retry a request that this package
// refused for a temporary cause.
const retryAfterMs = 1000

func writeFailure(w http.ResponseWriter, status int, failure Failure) {
	if failure.RetryAfterMs > 0 {
		// The header holds whole seconds; the body is exact.
		seconds := (failure.RetryAfterMs + 999) / 1000
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	writeJSON(w, status, failure)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil { // JSON cannot encode a score that is NaN or infinite
		status = http.StatusInternalServerError
		encoded = fmt.Appendf(nil, `{"kind":"Internal","detail":%q,"ran":"unknown"}`, err.Error())
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}

func answerOf(q *peerpb.Query, reply *peerpb.QueryReply) Answer {
	results := make([]Result, len(reply.Items))
	for i, item := range reply.Items {
		results[i] = Result{item.Key, item.Score, item.Value}
	}
	return Answer{
		RequestID: q.RequestId,
		Snapshot:  reply.IndexVersion,
		Results:   results,
		Payload:   reply.Payload,
		Coverage:  coverageOf(reply),
		Shards:    shardsOf(reply),
		Shared:    reply.Shared,
		Attempts:  reply.Attempts,
		Extra:     reply.Extra,
	}
}

func coverageOf(reply *peerpb.QueryReply) *Coverage {
	if len(reply.Wanted) == 0 {
		return nil
	}
	return &Coverage{
		Wanted:   rangesOf(reply.Wanted),
		Covered:  rangesOf(reply.Covered),
		Fraction: coveredFraction(reply.Covered, reply.Wanted),
		ReachMet: reply.ReachMet,
	}
}

func shardsOf(reply *peerpb.QueryReply) []Shard {
	shards := make([]Shard, len(reply.Shards))
	for i, s := range reply.Shards {
		shards[i] = Shard{
			Service:   s.Service,
			Wanted:    rangesOf(s.Wanted),
			Covered:   rangesOf(s.Covered),
			Kind:      core.Kind(s.Kind).String(),
			Upstream:  s.Upstream,
			Attempts:  s.Attempts,
			LatencyUs: s.LatencyUs,
		}
	}
	return shards
}

func rangesOf(from []*peerpb.KeyRange) []Range {
	ranges := make([]Range, len(from))
	for i, r := range from {
		ranges[i] = Range{r.From, r.To}
	}
	return ranges
}

// coveredFraction returns the number of covered keys over that of wanted keys. It
// is rounded down, so that it is 1 only if all are covered.
func coveredFraction(covered, wanted []*peerpb.KeyRange) float64 {
	total := keyCount(wanted)
	part := keyCount(covered)
	if total.Sign() == 0 || part.Cmp(total) >= 0 {
		return 1
	}
	f, _ := new(big.Rat).SetFrac(part, total).Float64()
	return min(f, math.Nextafter(1, 0))
}

// keyCount returns the number of keys in disjoint ranges, which may be 2^64.
func keyCount(ranges []*peerpb.KeyRange) *big.Int {
	sum := new(big.Int)
	for _, r := range ranges {
		to := new(big.Int).SetUint64(r.To)
		if r.To == 0 {
			to.Lsh(big.NewInt(1), 64)
		}
		sum.Add(sum, to.Sub(to, new(big.Int).SetUint64(r.From)))
	}
	return sum
}
