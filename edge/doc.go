// Package edge runs one host of the query tier on the users' platform. It
// joins the decision core of core/scatter to callers, upstreams and the store.
// Each duty is a goroutine of its own; bounded rings join them.
package edge
