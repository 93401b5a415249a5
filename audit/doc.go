// Package audit stores the trail of accepted and refused changes in the
// platform's object API, and publishes each change on the event bus.
//
// An accepted change is recorded in the configuration document by the same
// conditional write that accepts it, so none is lost. The document keeps only
// the last changes; before one is dropped, the accepting host copies it to a
// page of the trail. Refused changes are buffered on the host that refused them
// and written in batches every few seconds; a host that crashes loses those that
// it has not yet written.
package audit
