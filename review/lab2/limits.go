package main

import (
	"bytes"
	"fmt"
	"net/http"
	"time"
)

func init() { scenarios["limits"] = limitsAtEntries }

// limitsAtEntries raises the limit for bodies in the configuration and sends bodies within
// it, through hosts that hand requests over and through those that do not.
func limitsAtEntries(l *lab, trouble bool) (broken bool, err error) {
	const (
		calmLimit   = 262144
		raisedLimit = 4 << 20
		each        = 20
	)
	work := func(*http.Request) time.Duration { return 20 * time.Millisecond }
	for i := range 4 {
		if _, err := l.addServer("orders", zones[i], work, []byte("order")); err != nil {
			return false, err
		}
	}
	orders := single("/orders/", "orders", "idempotent", 600*time.Millisecond)
	if err := l.configure([]string{"orders"}, orders); err != nil {
		return false, err
	}
	shapes := []hostShape{{zones[0], 0.8, 536}}
	for i := range 7 {
		shapes = append(shapes, hostShape{zones[(i+1)%len(zones)], 0.192, 184})
	}
	if err := l.addHosts(shapes...); err != nil {
		return false, err
	}
	if err := l.startAll(6 * time.Second); err != nil {
		return false, err
	}
	size := calmLimit / 2
	if trouble {
		l.bodyLimit = raisedLimit
		if err := l.configure([]string{"orders"}, orders); err != nil {
			return false, err
		}
		size = raisedLimit / 2
	}
	time.Sleep(applyTime + 2*time.Second)
	denied, sent := 0, 0
	for _, h := range l.hosts {
		roles := h.logged("hosts_counted", "detail")
		counts := map[int]int{}
		for i := range each {
			c, err := l.connect(h)
			if err != nil {
				return false, err
			}
			a := c.do(http.MethodPost, fmt.Sprint("/orders/", i), bytes.Repeat([]byte("x"), size))
			c.end()
			counts[a.status]++
			sent++
			if a.status >= 300 && a.status < 500 && a.status != 408 && a.status != 421 && a.status != 429 {
				denied++
			}
		}
		l.note("%s, %v: answers by status %v", h.name, roles, counts)
	}
	allowed := 5 + float64(sent)/500
	l.note("* %d of %d requests within the limits of the configuration were denied, %.1f are allowed", denied, sent, allowed)
	return float64(denied) > allowed, nil
}
