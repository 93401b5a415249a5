package host

import (
	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// receiverGroups holds the receivers of each kind of event. They are built once,
// so that routing does not allocate.
type receiverGroups struct {
	members, leases, config, owner, gateway, once []stoppable
	// load receives load reports: the gateway estimates waits from them, the owner
	// reads which upstream process is warm.
	load []stoppable
	// callers are the roles with open caller requests.
	callers []stoppable
}

// receivers returns the roles that receive an event. An event that is not specific
// to some roles goes to all, in their fixed order.
func (h *Host) receivers(event core.Event) []stoppable {
	switch e := event.(type) {
	case core.PeerMessage:
		return h.messageReceivers(e.Message)
	case core.CallerRequest:
		if e.Query.GetOnce() {
			return h.routes.once
		}
		return h.routes.gateway
	case core.CallerGone:
		return h.routes.callers
	case core.UpstreamReply, core.UpstreamConn, core.UpstreamProbe:
		return h.routes.owner
	case core.HostListed:
		return h.routes.members
	case core.PlatformReply:
		return h.operationReceivers(e.Operation)
	default:
		return h.roles
	}
}

func (h *Host) messageReceivers(m *peerpb.Message) []stoppable {
	switch body := m.GetBody().(type) {
	case *peerpb.Message_SubQuery, *peerpb.Message_SubCancel, *peerpb.Message_Suspect:
		return h.routes.owner
	case *peerpb.Message_SubReply, *peerpb.Message_SubSlow:
		return h.routes.gateway
	case *peerpb.Message_LoadReport:
		return h.routes.load
	case *peerpb.Message_Query:
		if body.Query.GetOnce() {
			return h.routes.once
		}
		return h.routes.gateway
	case *peerpb.Message_QueryReply, *peerpb.Message_QueryCancel:
		return h.routes.callers
	case *peerpb.Message_Heartbeat:
		return h.routes.members
	case *peerpb.Message_LeaseRenew, *peerpb.Message_LeaseRenewed, *peerpb.Message_LeaseTable:
		return h.routes.leases
	case *peerpb.Message_ConfigDigest, *peerpb.Message_ConfigPush:
		return h.routes.config
	default:
		return nil
	}
}

func (h *Host) operationReceivers(operation uint64) []stoppable {
	switch operation & core.OperationsMask {
	case core.OperationsLease:
		return h.routes.leases
	case core.OperationsConfig:
		return h.routes.config
	case core.OperationsOnce:
		return h.routes.once
	default:
		return nil
	}
}
