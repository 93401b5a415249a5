package main

import (
	"net/http"
	"time"
)

func init() { scenarios["options"] = optionsOfTheServer }

// optionsOfTheServer sends OPTIONS * to each machine, beside an ordinary request. No route
// has that path, so a success can't come from a server.
func optionsOfTheServer(l *lab, trouble bool) (broken bool, err error) {
	work := func(*http.Request) time.Duration { return 20 * time.Millisecond }
	for i := range 4 {
		if _, err := l.addServer("orders", zones[i], work, []byte("order")); err != nil {
			return false, err
		}
	}
	if err := l.configure([]string{"orders"}, single("/orders/", "orders", "idempotent", 600*time.Millisecond)); err != nil {
		return false, err
	}
	if err := l.addHosts(hostShape{zones[0], 0.4, 284}, hostShape{zones[1], 0.4, 284}, hostShape{zones[2], 0.4, 284}, hostShape{zones[3], 0.4, 284}); err != nil {
		return false, err
	}
	if err := l.startAll(5 * time.Second); err != nil {
		return false, err
	}
	unsigned := 0
	for _, h := range l.hosts {
		c, err := l.connect(h)
		if err != nil {
			return false, err
		}
		method, path := http.MethodGet, "/elsewhere/1"
		if trouble {
			method, path = http.MethodOptions, "*"
		}
		for _, a := range []answer{c.do(http.MethodGet, "/orders/1", nil), c.do(method, path, nil), c.do(http.MethodGet, "/orders/2", nil)} {
			if a.status/100 == 2 && !a.signed {
				unsigned++
				l.note("request %s is answered %d without a signature", a.id, a.status)
			}
		}
		c.end()
	}
	l.note("* %d successes without the signature of a server", unsigned)
	return unsigned > 0, nil
}
