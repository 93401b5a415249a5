package edge

import (
	"fmt"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/standin/serverstub"
)

// BenchmarkGather sends gathers over 20 shards to eight hosts in four failure
// domains; each shard has servers in two of them. Servers and callers run in
// the same process.
func BenchmarkGather(b *testing.B) {
	cluster := newTestCluster(b)
	var shards []string
	body := make([]byte, 200)
	for i := range 20 {
		shard := fmt.Sprintf("shard%02d", i)
		shards = append(shards, shard)
		for n := range 2 {
			config := serverstub.Config{Work: 5 * time.Millisecond, Body: body, Slots: 8}
			cluster.addServerIn(fmt.Sprint("d", (i+n)%4+1), shard, fmt.Sprint(shard, "-", n), config)
		}
	}
	cluster.addServer("files", "f-0", serverstub.Config{})
	cluster.configure("files", shards...)
	var hosts []*testHost
	for i := range 8 {
		hosts = append(hosts, cluster.startHostIn(fmt.Sprint("d", i%4+1), fmt.Sprint("h", i), 1))
	}
	time.Sleep(2 * time.Second) // until the hosts have the full list of hosts
	var sequence atomic.Int64
	b.ResetTimer()
	before := processorTime(b)
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			n := sequence.Add(1)
			answer := hosts[n%8].request("GET", "/gather/x", fmt.Sprint("r-", n), "")
			if answer.err != nil || answer.status != 200 {
				b.Errorf("status %d: %v", answer.status, answer.err)
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
	b.ReportMetric(float64((processorTime(b)-before).Microseconds())/float64(b.N), "cpu-us/op")
}

// processorTime returns the CPU time that this process has used.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
