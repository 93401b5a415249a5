// Package gateway coordinates queries. On the host that received the caller's
// request it is the ingress: it forwards the request to the question's home
// host and answers the caller exactly once. On the home host it runs each
// question once for all concurrent requests for it: admission, choice of the
// index version, fan-out, hedging, retries, merging and the accounting of
// coverage.
//
// It is a deterministic state machine: its input is the time and events, its
// output is actions. The design is described in docs/design/002-tail.md and
// docs/design/003-snapshot.md.
package gateway
