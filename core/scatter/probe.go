package scatter

import "time"

// A gather that may have crashed upstreams is probed: one part is sent first, and the
// others once an upstream has answered. One that crashes upstreams then takes down one
// more of them, not one of each shard.

// startProbe sends the first part of a call and holds the others back.
func (e *Engine) startProbe(now time.Time, c *call) {
	e.note(Note{
		Decision: DecisionProbe, RequestID: c.request.RequestID, Fingerprint: c.request.Fingerprint, Route: c.route.Name, Version: c.config.Version,
		UpstreamsLost: e.quarantine.crashCount(c.request.Fingerprint),
	})
	c.probe = c.parts[0]
	e.send(now, c.probe)
}

// continueProbe sends the other parts of a call once its probe is answered. If the probe
// may have crashed its upstream, they are not sent; while it has not run, the next part
// is sent as well.
func (e *Engine) continueProbe(now time.Time, c *call) {
	if c.probe == nil {
		return
	}
	if c.hasUpstreamAnswer() {
		c.probe = nil
		e.sendAll(now, c)
		return
	}
	if c.probe.pending > 0 || c.probe.waiting || c.probe.executed && !c.probe.exhausted {
		return
	}
	executed := c.probe.executed
	for _, p := range c.parts {
		switch {
		case p.exhausted || p.waiting || p.sends > 0:
		case executed:
			p.exhausted = true
		default:
			c.probe = p
			if e.send(now, p); !p.exhausted {
				return
			}
		}
	}
}
