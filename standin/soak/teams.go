package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/samphirebeam/samphirebeam/standin/serverstub"
)

// The teams of a soak with teams. The key of the team silver changes with each version of
// the configuration; the team small has a quota.
const (
	teamGold   = "gold"
	teamSilver = "silver"
	teamSmall  = "small"

	smallRate, smallBurst = 20.0, 5.0
	// The rule on quotas, as the hosts assume it without settings.
	quotaWindow                = 5 * time.Second
	quotaOvershoot, quotaSlack = 0.1, 20.0
)

// hasTeams reports whether the configuration of a soak has teams: that of every fourth seed,
// so that seeds that failed before there were teams repeat what they did.
func hasTeams(seed uint64) bool { return seed%4 == 3 }

// teamSpecs returns the teams of a version of the configuration.
func teamSpecs(version int) []map[string]any {
	return []map[string]any{
		{"name": teamGold, "api_keys": []string{"key-gold"}, "priority": 0},
		{"name": teamSilver, "api_keys": []string{silverKey(version)}},
		{"name": teamSmall, "api_keys": []string{"key-small"}, "rate_per_s": smallRate, "burst": smallBurst},
	}
}

func silverKey(version int) string { return fmt.Sprint("key-silver-", version) }

// teamOf returns the team whose caller sends the request with an ID.
func teamOf(id string) string {
	caller, _, _ := strings.Cut(strings.TrimPrefix(id, "c"), "-")
	number, err := strconv.Atoi(caller)
	switch {
	case strings.HasPrefix(id, "withdrawn-"):
		return teamSilver
	case err != nil:
		return teamGold
	}
	return []string{teamGold, teamSilver, teamSmall, teamGold}[number%4]
}

// identify sets the headers by which a caller identifies itself. The caller also names a
// team, which the hosts must replace.
func (f *fleet) identify(header http.Header, id string) {
	if !f.teams {
		return
	}
	f.mu.Lock()
	version := f.version
	f.mu.Unlock()
	key := map[string]string{teamGold: "key-gold", teamSilver: silverKey(version), teamSmall: "key-small"}[teamOf(id)]
	if strings.HasPrefix(id, "withdrawn-") {
		key = silverKey(version - 1)
	}
	header.Set("Authorization", "Bearer "+key)
	header.Set("Tenant", "forged")
}

// checkWithdrawnKey checks that no host accepts the key of an older version once the
// newest one has to be in force.
func (c *checker) checkWithdrawnKey() {
	if !c.fleet.teams {
		return
	}
	for _, h := range c.fleet.hosts {
		c.probes++
		id := fmt.Sprint("withdrawn-", c.probes)
		status, _, _ := sendRequest(c.fleet, newProbeClient(), h, http.MethodGet, "/gather/x", id, "")
		if status != http.StatusUnauthorized {
			c.violated("%s: a withdrawn key gets %d after recovery", h.name, status)
		}
	}
}

// checkTeams checks what the servers were told of each request's team, and that the
// requests of the team with a quota were within it.
func (c *checker) checkTeams() {
	if !c.fleet.teams {
		return
	}
	first := map[string]time.Time{} // of the requests of the small team
	stubs := slices.Clone(c.fleet.fileServers)
	for _, s := range c.fleet.servers {
		stubs = append(stubs, s.Server)
	}
	for _, stub := range stubs {
		for id, runs := range stub.AllRuns() {
			for _, run := range runs {
				c.checkIdentity(id, run)
				if at, seen := first[id]; teamOf(id) == teamSmall && (!seen || run.At.Before(at)) {
					first[id] = run.At
				}
			}
		}
	}
	times := make([]time.Time, 0, len(first))
	for _, at := range first {
		times = append(times, at)
	}
	slices.SortFunc(times, time.Time.Compare)
	allowed := int((smallRate*quotaWindow.Seconds()+smallBurst)*(1+quotaOvershoot) + quotaSlack)
	for start, end := 0, 0; end < len(times); end++ {
		for times[end].Sub(times[start]) >= quotaWindow {
			start++
		}
		if ran := end - start + 1; ran > allowed {
			c.violated("%d requests of a team ran within %v, allowed are %d", ran, quotaWindow, allowed)
			return
		}
	}
}

func (c *checker) checkIdentity(id string, run serverstub.Run) {
	if strings.HasPrefix(id, "withdrawn-") {
		c.violated("%s has run with a withdrawn key", id)
	}
	if got := strings.Join(run.Header["Tenant"], ","); got != teamOf(id) || run.Header.Get("Authorization") != "" {
		c.violated("%s of team %s ran as %q with %d keys", id, teamOf(id), got, len(run.Header["Authorization"]))
	}
}
