package emulate

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is what a run came to. Two runs of one scenario, policy and seed give the same result to the byte.
type Result struct {
	Scenario   string        `json:"scenario"`
	Policy     string        `json:"policy"`
	Seed       uint64        `json:"seed"`
	Classes    []ClassResult `json:"classes"`
	Value      float64       `json:"worth"` // of what was answered within its aim, and late, over what was asked for
	Attempts   uint64        `json:"tries"` // by submitters
	Sends      uint64        `json:"sends"` // to nodes
	Handshakes uint64        `json:"handshakes"`
	Nodes      []NodeResult  `json:"nodes"`
	Broken     Broken        `json:"broken"`
	Events     uint64        `json:"events"`
}

// ClassResult is what became of the requests of a class. Latencies count from the first try, of those served.
type ClassResult struct {
	Name       string  `json:"name"`
	Requests   uint64  `json:"asked"`
	Served     uint64  `json:"served"`
	InTime     uint64  `json:"in_aim"`
	Refused    uint64  `json:"refused"`
	Failed     uint64  `json:"failed"`
	Unanswered uint64  `json:"unanswered"`
	MeanMs     float64 `json:"mean_ms"`
	P50Ms      float64 `json:"p50_ms"`
	P99Ms      float64 `json:"p99_ms"`
	MaxMs      float64 `json:"max_ms"`
}

// NodeResult is what became of what reached a node.
type NodeResult struct {
	Done     uint64 `json:"done"`
	Rejected uint64 `json:"turned_away"`
	Failed   uint64 `json:"failed"`
	Crashed  uint64 `json:"crashed"`
}

// Broken counts breaks of the rules.
type Broken struct {
	Dropped  uint64 `json:"dropped"`  // no answer in time
	Doubled  uint64 `json:"doubled"`  // two copies out, or a second one of what may run only once
	Refusals uint64 `json:"refusals"` // of what may have run only once and may have
	Late     uint64 `json:"late"`     // sent after the final answer
	Drained  uint64 `json:"drained"`  // to a node told to drain or gone for too long
}

// Any tells whether a rule was broken.
func (b Broken) Any() bool { return b != Broken{} }

// recorder keeps latencies to three digits from a microsecond to an hour (HdrHistogram, Tene 2012).
type recorder struct {
	hist *hdrhistogram.Histogram
	sum  time.Duration
	n    int64
	max  time.Duration
}

func newRecorder() recorder {
	return recorder{hist: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)}
}

func (r *recorder) add(d time.Duration) {
	_ = r.hist.RecordValue(max(int64(d/time.Microsecond), 1)) // more than an hour counts in the mean and the maximum alone
	r.sum, r.n, r.max = r.sum+d, r.n+1, max(r.max, d)
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func (r *recorder) into(c *ClassResult) {
	if r.n == 0 {
		return
	}
	c.MeanMs = millis(r.sum / time.Duration(r.n))
	c.P50Ms = float64(r.hist.ValueAtQuantile(50)) / 1e3
	c.P99Ms = float64(r.hist.ValueAtQuantile(99)) / 1e3
	c.MaxMs = millis(r.max)
}

// Run emulates a scenario under a policy. Requests that have come by the end of its length are followed to theirs.
func Run(s *Scenario, policy string, seed uint64) (*Result, error) {
	w, err := newSimulation(s, seed, func(w *simulation, no int) (Policy, error) {
		own := stream(seed, fmt.Sprintf("sidecar %d policy", no)).Uint64()
		if policy == Verdicts {
			if w.circle == nil {
				w.circle = newCircle(w, seed)
			}
			p, err := newPolicy(Module, w.cfg, own, nil)
			return &judged{p, w.circle, no}, err
		}
		return newPolicy(policy, w.cfg, own, func(id uint64) int {
			if n := w.nodes[id]; n != nil && n.up {
				return n.inFlight()
			}
			return 0
		})
	})
	if err != nil {
		return nil, err
	}
	longest := 0.0
	for _, c := range s.Classes {
		longest = max(longest, c.Deadline/1e3)
	}
	end := epoch + seconds(s.Length)
	w.result.Events = w.run(end)
	// What is still open: every try, every pause between tries and every advice has an end.
	for last := end + seconds(float64(s.Clients.Retries+1)*(longest+10)); len(w.jobs)+w.coming > 0 && w.now < last; {
		w.result.Events += w.run(w.now + time.Second)
	}
	r := &w.result
	r.Scenario, r.Policy, r.Seed = s.Name, policy, seed
	worth, asked := 0.0, 0.0
	for i := range r.Classes {
		c, k := &r.Classes[i], &s.Classes[i]
		w.lat[i].into(c)
		worth += k.Value * (float64(c.InTime) + k.LateValue*float64(c.Served-c.InTime))
		asked += k.Value * float64(c.Requests)
	}
	if asked > 0 {
		r.Value = worth / asked
	}
	for _, n := range w.order {
		r.Nodes = append(r.Nodes, NodeResult{n.done, n.rejected, n.failed, n.crashed})
	}
	return r, nil
}
