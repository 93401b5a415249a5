// Package scatter decides how a caller's request is answered by upstreams: which
// upstream it is sent to, when it is hedged or retried, when a partial answer is
// returned, and when the request is refused. It starts no goroutines, does no
// I/O, and reads no clock and no global random source: it is given events and
// the time, and returns actions.
package scatter
