// Package edge runs one host of the query tier on the users' platform. It
// connects the decision core of core/scatter to callers, upstreams and the
// store. Each worker runs on a goroutine of its own; bounded ring buffers
// connect them.
package edge
