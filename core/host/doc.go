// Package host combines the roles of one host behind one deterministic interface:
// Step processes an event at a given time and returns actions, Next returns when
// the next timer is due. A daemon drives one Host from one thread; tests and
// benchmarks drive many Hosts under virtual time.
package host
