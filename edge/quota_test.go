package edge

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core/scatter"
)

// TestQuotaOverSeveralHosts guards against a quota that each host applies on its own,
// against refusals of another status than 429 or without the time to come back, and
// against refused requests that run.
func TestQuotaOverSeveralHosts(t *testing.T) {
	cluster, hosts := newTeamCluster(t)
	cluster.teams = append(cluster.teams, map[string]any{
		"name": "silver", "api_keys": []string{"silver-secret"}, "rate_per_s": 5, "burst": 5,
	})
	cluster.configure("shard0", "shard0", "shard1", "shard2")
	eventually(t, func() error {
		for _, h := range hosts {
			if got := h.requestAs("silver-secret", "GET", "/fetch/x", fmt.Sprint("early-", time.Now().UnixNano()), ""); got.status != http.StatusOK && got.status != http.StatusTooManyRequests {
				return fmt.Errorf("status %d: the team or the other hosts are not known yet", got.status)
			}
		}
		return nil
	})
	const window, rate, burst = 5, 5, 5
	bound := (rate*window+burst)*1.1 + 20
	passed, refused := 0, 0
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(3 * time.Millisecond) {
		for i, h := range hosts {
			id := fmt.Sprint("silver-", i, "-", time.Now().UnixNano())
			got := h.requestAs("silver-secret", "POST", "/order/x", id, "")
			runs, _ := cluster.servers["o-0"].Runs(id)
			switch got.status {
			case http.StatusOK:
				passed++
			case http.StatusTooManyRequests:
				refused++
				if after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64); err != nil || !(after > 0) || runs != 0 {
					t.Fatalf("refused with Retry-After %q, %d runs", got.header.Get("Retry-After"), runs)
				}
			default:
				t.Fatalf("status %d, %v", got.status, got.err)
			}
		}
	}
	if float64(passed) > bound || passed < rate || refused < passed {
		t.Errorf("%d passed and %d were refused; the bound is %.0f", passed, refused, bound)
	}
	if got := hosts[0].requestAs(goldKey, "GET", "/fetch/x", "gold", ""); got.status != http.StatusOK {
		t.Errorf("a team without a limit gets %d", got.status)
	}
}

// TestRefusedConnectionIsRecognized guards against a killed host that is taken for one that
// is cut off, because the library words its error in another way.
func TestRefusedConnectionIsRecognized(t *testing.T) {
	p := newPeers()
	defer p.close()
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = silent.Close() }()
	for address, want := range map[string]bool{freeAddress(t): true, silent.Addr().String(): false} {
		ctx, cancel := context.WithTimeout(context.Background(), quotaTimeout)
		_, err := p.quota(ctx, "h1", scatter.QuotaRequest{To: scatter.Host{Address: address}, Number: 1})
		cancel()
		if got := isRefused(err); got != want {
			t.Errorf("%v: refused %v, want %v", err, got, want)
		}
	}
}
