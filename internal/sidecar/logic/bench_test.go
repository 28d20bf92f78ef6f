package logic

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkDecision measures a request with its outcome, at a busy sidecar that uses all servers and at one
// with few requests.
func BenchmarkDecision(b *testing.B) {
	for _, servers := range []int{10, 220} {
		for _, gap := range []time.Duration{ms, 500 * ms} {
			b.Run(fmt.Sprintf("servers=%d/gap=%v", servers, gap), func(b *testing.B) {
				lb, err := New(settings(Safe), 1)
				if err != nil {
					b.Fatal(err)
				}
				now := time.Minute
				acts := lb.Step(now, &Event{Kind: EvServerList, Servers: fleet(servers), Complete: true, Stored: true}, nil)
				b.ReportAllocs()
				id := uint64(0)
				for b.Loop() {
					id++
					now += gap
					acts = lb.Step(now, &Event{Kind: EvRequest, Request: id, Class: "c", Expires: now + time.Second}, acts[:0])
					acts = lb.Step(now+ms, &Event{Kind: EvOutcome, Request: id, Latency: ms, Outcome: Done, Final: true}, acts[:0])
				}
			})
		}
	}
}
