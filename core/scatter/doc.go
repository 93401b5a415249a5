// Package scatter decides how the host that took a request has it answered by
// upstreams: which upstream gets it, when a second one is asked, when to
// answer with the parts at hand, and when to refuse. It has no goroutine, no
// I/O, no clock and no global random source: events and time go in, actions
// come out.
package scatter
