package core

import (
	"time"

	"github.com/samphirebeam/samphirebeam/peerpb"
)

// Action is an effect that the decision core requests. Only the types in this
// package implement it.
type Action interface{ action() }

// AnswerCaller sends the final answer of an open call.
type AnswerCaller struct {
	Call  CallID
	Reply *peerpb.QueryReply
}

// SendPeer sends a message to a host. A message to this host is delivered as a
// PeerMessage without using the network.
type SendPeer struct {
	To      HostID
	Message *peerpb.Message
}

// Dispatch runs one attempt on an upstream. It ends with exactly one
// UpstreamReply.
type Dispatch struct {
	Upstream *Upstream
	Attempt  AttemptID
	Query    *peerpb.SubQuery
	// Deadline is when the attempt is ended.
	Deadline time.Time
	// StartBy is sent to the upstream, which does not start the work after it. It
	// protects against a pause of the host between its decision and the send. The
	// zero time sets no limit.
	StartBy time.Time
	// ReuseOnly restricts the attempt to an idle connection that has delivered an
	// answer before. If there is none, the attempt ends as UpstreamLost, NotRun, and
	// no connection is opened. Without ReuseOnly, an idle connection that has not
	// delivered an answer yet is preferred, then any idle one, then a new one.
	ReuseOnly bool
}

// CancelDispatch cancels a dispatched attempt by closing its connection. The
// UpstreamReply still follows.
type CancelDispatch struct {
	Upstream UpstreamID
	Attempt  AttemptID
}

// OpenConns opens idle connections to an upstream until it has Want in total.
type OpenConns struct {
	Upstream *Upstream
	Want     int
}

// CloseConns closes the idle connections to an upstream.
type CloseConns struct{ Upstream UpstreamID }

// PlatformOp is the operation of a PlatformCall.
type PlatformOp int

// The platform operations.
const (
	PlatformGet PlatformOp = iota
	// PlatformPut writes the object if its current version is Version; with a Version
	// without a revision it creates the object.
	PlatformPut
	PlatformDelete
)

// Each role that calls the platform numbers its operations from its own base, so
// that replies are routed to that role.
const (
	OperationsLease  uint64 = 1 << 56
	OperationsConfig uint64 = 2 << 56
	OperationsOnce   uint64 = 3 << 56
	OperationsMask   uint64 = 0xff << 56
)

// The keys of platform objects.
const (
	// ConfigKey holds the accepted configuration document.
	ConfigKey = "config/main"
	// LeaseKeyPrefix followed by the name of a cell holds its lease table.
	LeaseKeyPrefix = "lease/"
	// OnceKeyPrefix followed by the number of a partition and the number of
	// partitions holds the interval of the partition.
	OnceKeyPrefix = "once/"
	// ClaimKeyPrefix followed by the hash of a request id without an issue time
	// holds the claim on that id.
	ClaimKeyPrefix = "claim/"
	// AuditKeyPrefix followed by a page number holds a page of the audit trail.
	AuditKeyPrefix = "audit/"
)

// PlatformCall makes one call to the platform's object API. It ends with exactly
// one PlatformReply with the same Operation.
type PlatformCall struct {
	Operation uint64
	Op        PlatformOp
	Key       string
	Version   uint64
	Value     []byte
	Timeout   time.Duration
}

// WatchObject starts or ends the watch of a platform object. Each newer state is
// delivered as a PlatformChanged.
type WatchObject struct {
	Key string
	On  bool
}

// ListHosts reads the platform's host list once; the result is a HostListed.
type ListHosts struct{}

// Record is an entry for the audit trail, the logs and the event bus. The core does
// not wait until it is written.
type Record struct {
	Topic  string
	Fields map[string]string
}

// Stopped reports that the planned stop is complete.
type Stopped struct{}

func (AnswerCaller) action()   {}
func (SendPeer) action()       {}
func (Dispatch) action()       {}
func (CancelDispatch) action() {}
func (OpenConns) action()      {}
func (CloseConns) action()     {}
func (PlatformCall) action()   {}
func (WatchObject) action()    {}
func (ListHosts) action()      {}
func (Record) action()         {}
func (Stopped) action()        {}
