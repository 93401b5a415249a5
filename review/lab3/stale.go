package main

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/scatter"
)

func init() { scenarios["stale"] = staleScenario }

// rollbackSlack is bounds.rollback_slack_ms.
const rollbackSlack = 250 * time.Millisecond

// pickStale returns a machine that reads the store for others and one of its zone that
// hands requests over.
func (l *lab) pickStale() (reader, entry *edge) {
	var hosts []scatter.Host
	for _, e := range l.edges {
		hosts = append(hosts, scatter.Host{ID: core.HostID(e.name), Domain: core.DomainID(e.zone), Address: e.control, Cores: 0.4})
	}
	ranked, _ := scatter.RankHosts(hosts)
	find := func(id core.HostID) *edge {
		for _, e := range l.edges {
			if e.name == string(id) {
				return e
			}
		}
		return nil
	}
	for _, r := range ranked[:scatter.StoreReaders] {
		for _, e := range l.edges {
			lines := e.logLines("hosts_counted")
			if e.zone == string(r.Domain) && len(lines) > 0 && !strings.Contains(lines[len(lines)-1], "gatherer") {
				return find(r.ID), e
			}
		}
	}
	return nil, nil
}

// staleScenario: the store is silent for one machine while a new version comes. Another
// machine, which is calm, handles requests by the new version and then by the old one.
func staleScenario(l *lab) (int, error) {
	if err := l.deploy(smallZones(14)); err != nil {
		return couldNot, err
	}
	reader, entry := l.pickStale()
	if reader == nil {
		return couldNot, errors.New("no machine in the zone of a reader hands requests over")
	}
	l.note("consumers ask %s; the store will be silent for %s", entry.name, reader.name)
	var mu sync.Mutex
	answers := map[string]answer{}
	stop := make(chan struct{})
	var all sync.WaitGroup
	for c := range 8 {
		all.Go(func() {
			client := newConsumer(entry)
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				id := fmt.Sprintf("c%d-%d", c, i)
				a := client.ask("/lookup/x", id, "6000")
				mu.Lock()
				answers[id] = a
				mu.Unlock()
			}
		})
	}
	time.Sleep(3 * time.Second)
	if l.trouble {
		l.note("the store is silent for %s", reader.name)
		reader.store.setSilent(true)
	}
	time.Sleep(100 * time.Millisecond)
	acked := time.Now()
	if err := l.configure(2, "portal"); err != nil {
		return couldNot, err
	}
	l.note("version 2 is acknowledged: /lookup/ moves from orders to portal")
	time.Sleep(5400 * time.Millisecond)
	reader.store.setSilent(false)
	l.note("the store serves %s again", reader.name)
	time.Sleep(2 * time.Second)
	close(stop)
	all.Wait()
	return l.judgeRegress(answers, acked)
}

// judgeRegress checks the rule on regressing machines for the requests of one machine.
func (l *lab) judgeRegress(answers map[string]answer, acked time.Time) (int, error) {
	runs := l.allRuns()
	var effect time.Time
	served := 0
	for id, a := range answers {
		if a.status == 200 {
			served++
		}
		for _, r := range runs[id] {
			if strings.HasPrefix(r.server, "i-portal") && (effect.IsZero() || r.at.Before(effect)) {
				effect = r.at
			}
		}
	}
	if effect.IsZero() || served < len(answers)*9/10 {
		return couldNot, fmt.Errorf("%d of %d served, effect at %v", served, len(answers), effect)
	}
	l.note("%d of %d served; a server first saw the effect %d ms after the ack", served, len(answers), effect.Sub(acked).Milliseconds())
	regressed := 0
	for id, a := range answers {
		for _, r := range runs[id] {
			if strings.HasPrefix(r.server, "i-orders") && a.sent.Sub(effect) > rollbackSlack {
				regressed++
				l.note("%s, sent %d ms after the effect (%d ms after the ack), ran at %s, status %d", id, a.sent.Sub(effect).Milliseconds(), a.sent.Sub(acked).Milliseconds(), r.server, a.status)
			}
		}
	}
	l.note("%d requests were handled by the old version more than 250 ms after the effect of the new one", regressed)
	if regressed > 0 {
		return broken, nil
	}
	return held, nil
}
