package soak

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"
)

// cutKinds are the ways in which hosts lose all upstreams: connections hang, are reset
// and hang, are reset and refused, or live on while new ones are refused.
var cutKinds = []string{"hang", "reset", "refuse", "spare"}

const (
	// Callers of hosts that are cut off must be served minRelativeServed times as
	// often as the others, or at most tolerableFailures plus one in fifty of all may
	// fail there. The requests are counted for partitionTime, from contactMs after the
	// cut on.
	partitionTime     = 1500 * time.Millisecond
	minRelativeServed = 2.0 / 3
	tolerableFailures = 10
)

// cut cuts a host off from all upstreams; an empty kind ends that.
func (j *faultInjector) cut(kind string, h *host) {
	// The file is replaced in one step, so that the host never reads a part of it.
	if err := os.WriteFile(h.cutFile+".new", []byte(kind), 0o600); err != nil {
		j.checker.violated("%v", err)
	}
	if err := os.Rename(h.cutFile+".new", h.cutFile); err != nil {
		j.checker.violated("%v", err)
	}
}

// pickCut returns some hosts, all but one at most, and how they are cut off.
func (j *faultInjector) pickCut() (kind string, hosts []*host) {
	order := j.random.Perm(len(j.fleet.hosts))
	for _, i := range order[:1+j.random.IntN(len(order)-1)] {
		hosts = append(hosts, j.fleet.hosts[i])
	}
	return cutKinds[j.random.IntN(len(cutKinds))], hosts
}

func (j *faultInjector) cutHosts() (string, func()) {
	kind, hosts := j.pickCut()
	var names []string
	for _, h := range hosts {
		j.cut(kind, h)
		names = append(names, h.name)
	}
	return fmt.Sprintf("cut off (%s) %s", kind, strings.Join(names, " ")), func() {
		for _, h := range hosts {
			j.cut("", h)
		}
	}
}

// checkPartition cuts hosts off and checks that their callers are served.
func (j *faultInjector) checkPartition() {
	what, finish := j.cutHosts()
	defer finish()
	j.injected = append(j.injected, what)
	time.Sleep(contactMs * time.Millisecond)
	type tries struct{ asked, served int }
	counts := map[bool]*tries{true: {}, false: {}}
	for end, i := time.Now().Add(partitionTime), 0; time.Now().Before(end); i++ {
		h := j.fleet.hosts[i%len(j.fleet.hosts)]
		id := fmt.Sprintf("partition-%d", i)
		method, path, body := http.MethodGet, "/gather/x", ""
		if i/len(j.fleet.hosts)%2 == 0 {
			method, path, body = http.MethodPost, "/order/x", "one "+id
		}
		status, _, _ := sendRequest(j.fleet, newProbeClient(), h, method, path, id, body)
		if method == http.MethodPost {
			j.checker.recordOrder(id, status)
		}
		count := counts[strings.Contains(what+" ", " "+h.name+" ")]
		count.asked++
		if status == http.StatusOK {
			count.served++
		}
	}
	cut, others := counts[true], counts[false]
	failed := float64(cut.asked - cut.served)
	relative := float64(cut.served) * float64(max(1, others.asked)) / float64(max(1, cut.asked*others.served))
	if relative < minRelativeServed && failed > tolerableFailures+float64(cut.asked+others.asked)/50 {
		j.checker.violated("%s: %d of %d served there, %d of %d at the others", what, cut.served, cut.asked, others.served, others.asked)
	}
}
