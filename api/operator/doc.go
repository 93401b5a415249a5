// Package operator implements the HTTP resource API for operators: objects,
// status and the audit trail.
//
// A change is accepted by one conditional write of the configuration document
// in the platform. If the reply to the write is lost, the API reads the document
// again and looks for the request's operation id. A change is therefore applied
// at most once, and an answer says "not accepted" only if that is certain.
package operator
