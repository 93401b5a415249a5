package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync/atomic"
	"time"
)

func init() { scenarios["budget"] = budgetAfterChanges }

const (
	// Servers fail failShare of their requests for failsFor.
	failShare = 0.5
	failsFor  = 9 * time.Second
	// In a storm, versions come stormGap apart: stormChanges of them.
	stormGap     = time.Second
	stormChanges = 6
	// The bound of the rule.
	budgetRatio  = 0.2
	budgetSlack  = 56
	budgetWindow = 10 * time.Second
)

// budgetAfterChanges lets servers fail part of their requests, while the operator moves
// the route to another service and back, and counts the extra arrivals.
func budgetAfterChanges(l *lab, trouble bool) (broken bool, err error) {
	work := func(*http.Request) time.Duration { return 20 * time.Millisecond }
	var failing atomic.Bool
	for _, service := range []string{"orders", "portal"} {
		for i := range 6 {
			s, err := l.addServer(service, zones[i%len(zones)], work, []byte(service))
			if err != nil {
				return false, err
			}
			s.fails = func() bool { return service == "orders" && failing.Load() && rand.Float64() < failShare }
		}
	}
	to := func(service string) error {
		return l.configure([]string{service}, single("/orders/", service, "idempotent", 600*time.Millisecond))
	}
	if err := to("orders"); err != nil {
		return false, err
	}
	if err := l.addHosts(hostShape{zones[0], 0.4, 284}, hostShape{zones[1], 0.4, 284}, hostShape{zones[2], 0.4, 284}, hostShape{zones[3], 0.4, 284}); err != nil {
		return false, err
	}
	if err := l.startAll(12 * time.Second); err != nil {
		return false, err
	}
	t := &traffic{lab: l}
	for _, h := range l.hosts {
		for i := range 24 {
			t.over(h, fmt.Sprint("/orders/", i), 780*time.Millisecond)
		}
	}
	time.Sleep(12 * time.Second)
	failing.Store(true)
	l.note("half of the requests fail at the servers of orders")
	ends := time.Now().Add(failsFor)
	time.Sleep(3 * time.Second)
	for n := range stormChanges {
		if trouble {
			if err := to([]string{"portal", "orders"}[n%2]); err != nil {
				return false, err
			}
		}
		time.Sleep(stormGap)
	}
	time.Sleep(time.Until(ends))
	failing.Store(false)
	time.Sleep(2 * time.Second)
	t.stop()

	extras, sent := l.extraArrivals("orders"), t.sent()
	worst, shown := -budgetSlack*2.0, ""
	for _, at := range extras {
		from := at.Add(-budgetWindow)
		count := len(slices.DeleteFunc(slices.Clone(extras), func(e time.Time) bool { return e.Before(from) || e.After(at) }))
		// All requests count as requests for the service, also those that the versions in
		// force sent to the other one.
		requests := max(requestsWithin(sent, from), requestsWithin(sent, from.Add(-budgetWindow)), requestsWithin(sent, from.Add(-budgetWindow/2)))
		if over := float64(count) - budgetRatio*float64(requests) - budgetSlack; over > worst {
			worst, shown = over, fmt.Sprintf("%d extra arrivals for %d requests, %.0f over the budget", count, requests, over)
		}
	}
	l.note("* the worst window: %s", shown)
	return worst > 0, nil
}

// extraArrivals returns when a service ran requests that had run there before, in order.
func (l *lab) extraArrivals(service string) (extras []time.Time) {
	runs := l.allRuns()
	slices.SortFunc(runs, func(a, b serverRun) int { return a.at.Compare(b.at) })
	seen := map[string]bool{}
	for _, r := range runs {
		if r.service != service {
			continue
		}
		if seen[r.id] {
			extras = append(extras, r.at)
		}
		seen[r.id] = true
	}
	return extras
}

// requestsWithin counts the requests that were sent in the window from a time on.
func requestsWithin(sent []answer, from time.Time) (count int) {
	for _, a := range sent {
		if !a.sent.Before(from) && a.sent.Before(from.Add(budgetWindow)) {
			count++
		}
	}
	return count
}
