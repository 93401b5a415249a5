package owner

import (
	"slices"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/peerpb"
)

// report sends the changed loads to the hosts that sent sub-queries recently.
func (o *Owner) report(now time.Time, out *core.Actions) {
	o.nextReport = time.Time{}
	var loads []*peerpb.Load
	for _, s := range o.ordered {
		key := s.loadKey(now)
		if key == s.reported {
			continue
		}
		loads = append(loads, s.reportLoad(now))
	}
	o.sendLoads(now, loads, out)
}

func (s *share) reportLoad(now time.Time) *peerpb.Load {
	s.reported = s.loadKey(now)
	load := s.load(now)
	load.Instance = s.warmInstance(now)
	return load
}

// loadReport records the warm instances reported by another owner.
func (o *Owner) loadReport(m *peerpb.LoadReport) {
	for _, load := range m.Loads {
		o.recordWarmInstance(core.UpstreamID(load.Upstream), load.Instance)
	}
}

func (o *Owner) recordWarmInstance(id core.UpstreamID, instance string) {
	if instance != "" && o.topology.Upstreams[id] != nil && o.warmInstances[id] != instance {
		o.warmInstances[id] = instance
	}
}

func (o *Owner) sendLoads(now time.Time, loads []*peerpb.Load, out *core.Actions) {
	if len(loads) == 0 {
		return
	}
	message := &peerpb.Message{Body: &peerpb.Message_LoadReport{LoadReport: &peerpb.LoadReport{Loads: loads}}}
	for _, host := range o.recentSenders(now) {
		out.Send(host, message)
	}
}

func (o *Owner) recentSenders(now time.Time) []core.HostID {
	var hosts []core.HostID
	for host, last := range o.senders {
		if now.Sub(last) <= o.cfg.ReportTo {
			hosts = append(hosts, host)
		}
	}
	slices.Sort(hosts)
	return hosts
}
