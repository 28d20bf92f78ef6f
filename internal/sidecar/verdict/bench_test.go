package verdict

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkEvaluate measures an evaluation by one of a thousand members with a hundred healthy nodes.
func BenchmarkEvaluate(b *testing.B) {
	j := NewEvaluator(Config{Name: "m0", Zone: "z0", Pace: 250 * time.Millisecond, MaxPercent: 25}, 0)
	var event Evaluate
	for i := range 1000 {
		event.Peers = append(event.Peers, Peer{fmt.Sprint("m", i), fmt.Sprint("z", i%3)})
	}
	for i := range 100 {
		event.Nodes = append(event.Nodes, Node{Name: fmt.Sprint("n", i), Zone: fmt.Sprint("z", i%3)})
		event.Evidence = append(event.Evidence, Evidence{Node: fmt.Sprint("n", i), Succeeded: 8, LatencySamples: 8, Latency: time.Millisecond})
	}
	b.ReportAllocs()
	for i := range b.N {
		j.Step(time.Duration(i)*time.Second, event)
	}
}
