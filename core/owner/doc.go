// Package owner runs the shares of upstreams that this host holds.
//
// For each share it keeps a queue, the attempts in flight, the state of the
// connections and a concurrency limiter. Every sub-query is answered exactly
// once. Immediately before each dispatch the owner checks that the share is
// held, that the upstream may accept work and that the deadline can be met.
package owner
