package host

import (
	"math/rand/v2"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/configsync"
	"github.com/samphirebeam/samphirebeam/core/gateway"
	"github.com/samphirebeam/samphirebeam/core/lease"
	"github.com/samphirebeam/samphirebeam/core/member"
	"github.com/samphirebeam/samphirebeam/core/once"
	"github.com/samphirebeam/samphirebeam/core/owner"
)

// Stream numbers of the host's random sources, one per role or policy.
const (
	streamMember uint64 = iota + 1
	streamLease
	streamConfig
	streamRouter
	streamHedger
	streamAdmission
	streamLimiter
)

// New validates the configuration and returns a Host that has not started yet: the
// first Step starts it.
func New(cfg Config) (*Host, error) {
	if cfg.Self.Host == "" {
		return nil, core.Errorf(core.InvalidRequest, "the host needs a name")
	}
	h := &Host{cfg: cfg}
	if err := h.newControlRoles(); err != nil {
		return nil, err
	}
	if err := h.newQueryRoles(); err != nil {
		return nil, err
	}
	h.orderRoles()
	return h, nil
}

func (h *Host) random(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(h.cfg.Seed, stream))
}

// newControlRoles creates the roles for membership, leases and configuration.
func (h *Host) newControlRoles() error {
	var err error
	h.members, err = member.New(member.Config{
		Self:        h.cfg.Self,
		Incarnation: h.cfg.Incarnation,
		Seeds:       h.cfg.Seeds,
		Random:      h.random(streamMember),
	})
	if err != nil {
		return err
	}
	h.leases, err = lease.New(lease.Config{
		Self:        h.cfg.Self.Host,
		Incarnation: h.cfg.Incarnation,
		Members:     h.members,
		Cell:        h.cfg.Cell,
		Random:      h.random(streamLease),
	})
	if err != nil {
		return err
	}
	h.config, err = configsync.New(configsync.Config{
		Self:    h.cfg.Self.Host,
		Members: h.members,
		Random:  h.random(streamConfig),
	})
	return err
}

// queryViews returns the membership and ownership used by the query roles.
func (h *Host) queryViews() (core.Membership, core.Ownership) {
	if h.cfg.Unshared {
		local := unshared{self: h.cfg.Self}
		return local, local
	}
	return h.members, h.leases
}

// newQueryRoles creates the policies and the roles that process requests: owner,
// gateway and at-most-once guard.
func (h *Host) newQueryRoles() error {
	p := h.cfg.Policies
	router, err := core.Routers.New(p.Router.Name, h.cfg.options(p.Router, streamRouter))
	if err != nil {
		return err
	}
	hedger, err := core.Hedgers.New(p.Hedger.Name, h.cfg.options(p.Hedger, streamHedger))
	if err != nil {
		return err
	}
	admission, err := core.Admissions.New(p.Admission.Name, h.cfg.options(p.Admission, streamAdmission))
	if err != nil {
		return err
	}
	limiter, err := core.Limiters.New(p.Limiter.Name, h.cfg.options(p.Limiter, streamLimiter))
	if err != nil {
		return err
	}
	members, owners := h.queryViews()
	h.owner, err = owner.New(owner.Config{
		Self:        h.cfg.Self.Host,
		Incarnation: h.cfg.Incarnation,
		Limiter:     limiter,
		Members:     members,
		Owners:      owners,
	})
	if err != nil {
		return err
	}
	h.gateway, err = gateway.New(gateway.Config{
		Self:          h.cfg.Self.Host,
		Incarnation:   h.cfg.Incarnation,
		Router:        router,
		Hedger:        hedger,
		Admission:     admission,
		Members:       members,
		Owners:        owners,
		ExtraFraction: h.cfg.ExtraLoad,
	})
	if err != nil {
		return err
	}
	h.once, err = once.New(once.Config{
		Self:        h.cfg.Self.Host,
		Incarnation: h.cfg.Incarnation,
		Members:     members,
		Runner:      h.gateway,
	})
	return err
}

// orderRoles fixes the order in which roles receive events: the roles that others
// read (membership, ownership, configuration) are updated first.
func (h *Host) orderRoles() {
	h.roles = []stoppable{h.members, h.leases, h.config, h.owner, h.gateway, h.once}
	if h.cfg.Unshared {
		h.roles[5] = unguarded{runner: h.gateway}
	}
	h.routes = receiverGroups{
		members: h.roles[0:1],
		leases:  h.roles[1:2],
		config:  h.roles[2:3],
		owner:   h.roles[3:4],
		gateway: h.roles[4:5],
		load:    h.roles[3:5],
		once:    h.roles[5:6],
		callers: h.roles[4:6],
	}
}
