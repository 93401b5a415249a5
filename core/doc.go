// Package core defines the shared types of the decision core: identifiers, error
// kinds, the topology, events, actions and the plug-in registry.
//
// The decision core starts no goroutines, does no I/O, reads no clock and uses no
// global random source. Its caller passes in the time and events, and performs the
// returned actions. The roles are in the subpackages (gateway, owner, lease,
// member, configsync, once); package host combines them behind one method, Step.
package core
