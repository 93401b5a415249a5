// Package resource defines the objects that operators declare: their kinds,
// strict decoding from YAML and JSON, validation, the configuration document
// that is stored in the platform, and its compilation to core.Topology.
//
// All functions here are pure. The code that uses them resolves races between
// operators by a conditional write: it stores the document that Apply returns
// only if the platform still holds the one that was given to Apply.
package resource
