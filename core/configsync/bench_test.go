package configsync

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/core/corefake"
	"github.com/samphirebeam/samphirebeam/peerpb"
	"github.com/samphirebeam/samphirebeam/resource"
)

// BenchmarkSpread measures one change under virtual time: the time until it is in
// force on the last host, and what each host sends within propagationLimit,
// including the periodic digests.
func BenchmarkSpread(b *testing.B) {
	for _, hosts := range []int{8, 64, 512, 4600} {
		for _, loss := range []float64{0, 0.05} {
			b.Run(fmt.Sprintf("hosts=%d/loss=%v", hosts, loss), func(b *testing.B) { benchSpread(b, hosts, loss) })
		}
	}
}

func benchSpread(b *testing.B, hosts int, loss float64) {
	const changes = 3
	docs := documents(b, 100, changes+1)
	for b.Loop() {
		f := newFleet(b, hosts, 1)
		f.run(5*time.Second, never)
		f.accept(0, docs[0])
		f.run(10*time.Second, never)
		f.loss = loss
		quietMessages, quietBytes := f.sentWithin(10 * time.Second)
		var slowest time.Duration
		messages, bytes, most := 0, 0, 0
		for i := range changes {
			f.resetSent()
			f.accept(f.random.IntN(hosts), docs[i+1])
			slowest = max(slowest, f.run(propagationLimit, f.inForceEverywhere(uint64(i)+2)))
			if f.lagging(uint64(i)+2) > 0 {
				b.Fatalf("%d hosts lag", f.lagging(uint64(i)+2))
			}
			f.run(propagationLimit, never)
			m, by, mo := f.sent()
			messages, bytes, most = messages+m, bytes+by, max(most, mo)
		}
		n := float64(hosts)
		b.ReportMetric(slowest.Seconds()*1000, "ms/last-host")
		b.ReportMetric(float64(messages)/n/changes, "messages/host/change")
		b.ReportMetric(float64(bytes)/n/changes, "bytes/host/change")
		b.ReportMetric(float64(most), "most-bytes/host")
		b.ReportMetric(float64(quietMessages)/n/10, "quiet-messages/host/s")
		b.ReportMetric(float64(quietBytes)/n/10, "quiet-bytes/host/s")
	}
}

func (f *fleet) resetSent() {
	for _, n := range f.nodes {
		n.messages, n.bytes = 0, 0
	}
}

// sent returns the totals sent by all hosts, and the most bytes sent by one host.
func (f *fleet) sent() (messages, bytes, most int) {
	for _, n := range f.nodes {
		messages += n.messages
		bytes += n.bytes
		most = max(most, n.bytes)
	}
	return messages, bytes, most
}

func (f *fleet) sentWithin(d time.Duration) (messages, bytes int) {
	f.resetSent()
	f.run(d, never)
	messages, bytes, _ = f.sent()
	return messages, bytes
}

// BenchmarkLearn measures the processing of one pushed delta by a host, up to the
// new topology, at several document sizes.
func BenchmarkLearn(b *testing.B) {
	for _, upstreams := range []int{120, 1000, 4000} {
		b.Run(fmt.Sprintf("upstreams=%d", upstreams), func(b *testing.B) {
			before, after := largeDocuments(b, upstreams)
			encoded, err := before.Encode()
			if err != nil {
				b.Fatal(err)
			}
			diff, _ := resource.DiffSince(after, before.Generation)
			delta, err := diff.Encode()
			if err != nil {
				b.Fatal(err)
			}
			message := &peerpb.Message{Body: &peerpb.Message_ConfigPush{ConfigPush: &peerpb.ConfigPush{
				Generation: after.Generation, Since: before.Generation, Document: delta, Checksum: resource.Checksum(delta),
			}}}
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				s := benchSync(b, encoded)
				b.StartTimer()
				var out core.Actions
				s.Step(time.Unix(2, 0), core.PeerMessage{From: "b", Message: message}, &out)
				if s.Generation() != after.Generation {
					b.Fatal("the push was not applied")
				}
			}
			b.ReportMetric(float64(len(encoded)), "document-bytes")
			b.ReportMetric(float64(len(delta)), "delta-bytes")
		})
	}
}

// BenchmarkKnownValue measures a watch event with the generation already in force.
func BenchmarkKnownValue(b *testing.B) {
	doc, _ := largeDocuments(b, 4000)
	encoded, err := doc.Encode()
	if err != nil {
		b.Fatal(err)
	}
	s := benchSync(b, encoded)
	var out core.Actions
	for b.Loop() {
		s.Step(time.Unix(1, 0), core.PlatformChanged{Key: core.ConfigKey, Value: encoded}, &out)
	}
}

// BenchmarkWholeValue measures a host that reads the whole document, with 120
// upstreams, the current number, and with 4000, as many as fit.
func BenchmarkWholeValue(b *testing.B) {
	for _, upstreams := range []int{120, 4000} {
		b.Run(fmt.Sprintf("upstreams=%d", upstreams), func(b *testing.B) {
			doc, _ := largeDocuments(b, upstreams)
			encoded, err := doc.Encode()
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				benchSync(b, encoded)
			}
			b.ReportMetric(float64(len(encoded)), "document-bytes")
		})
	}
}

// BenchmarkMemory measures the heap that a document and its topology occupy on a
// host.
func BenchmarkMemory(b *testing.B) {
	const upstreams = 4000
	doc, _ := largeDocuments(b, upstreams)
	encoded, err := doc.Encode()
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		before := liveHeap()
		s := benchSync(b, encoded)
		after := liveHeap()
		b.ReportMetric(float64(after-before)/upstreams, "heap-bytes/upstream")
		runtime.KeepAlive(s)
	}
}

func liveHeap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func benchSync(b *testing.B, encoded []byte) *Sync {
	members := &corefake.Membership{Host: "a", Hosts: []core.HostID{"a", "b"}}
	s, err := New(Config{Self: "a", Members: members, Random: rand.New(rand.NewPCG(1, 1))})
	if err != nil {
		b.Fatal(err)
	}
	var out core.Actions
	s.Step(time.Unix(1, 0), core.PlatformChanged{Key: core.ConfigKey, Value: encoded}, &out)
	return s
}

// largeDocuments returns a document with the given number of upstreams, and its
// successor, in which one of them is leaving.
func largeDocuments(b *testing.B, upstreams int) (before, after *resource.Document) {
	doc := &resource.Document{}
	edits := []resource.Edit{
		domainEdit(resource.StateIn),
		{Object: resource.Object{Kind: resource.Service, Name: "s", Spec: &resource.ServiceSpec{}}},
	}
	for i := range upstreams {
		edits = append(edits, upstreamEdit(i, resource.StateIn))
	}
	for first := 0; first < len(edits); first += resource.MaxEdits {
		doc = mustApply(b, doc, edits[first:min(first+resource.MaxEdits, len(edits))])
	}
	return doc, mustApply(b, doc, []resource.Edit{upstreamEdit(7, resource.StateLeaving)})
}
