package processfleet

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"fieldrelay/internal/testkit/fakebackend"
)

// shareLog records what each sidecar says of its limits, over time.
type shareLog struct {
	stop chan struct{}
	wg   sync.WaitGroup
	mu   sync.Mutex
	said []shareLine
}

// shareLine is what a sidecar said of one limit.
type shareLine struct {
	asked, answered time.Time
	sidecar, line   string
}

// shareInterval is how often a sidecar is asked.
const shareInterval = 100 * time.Millisecond

// logShares asks all sidecars for their limits until the test ends.
func logShares(t *testing.T, r *Fleet) *shareLog {
	l := &shareLog{stop: make(chan struct{})}
	for _, s := range r.Sidecars {
		l.wg.Go(func() { l.ask(s) })
	}
	t.Cleanup(func() {
		close(l.stop)
		l.wg.Wait()
	})
	return l
}

// ask asks one sidecar, also one that was killed or stopped: it answers when it is back.
func (l *shareLog) ask(s *Sidecar) {
	ticker := time.NewTicker(shareInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.stop:
			return
		case <-ticker.C:
		}
		if _, runs := s.Running(); !runs {
			continue
		}
		asked := time.Now()
		lines, err := s.Manage("QUOTAS")
		if err != nil {
			lines = []string{err.Error()}
		}
		l.mu.Lock()
		for _, line := range lines {
			l.said = append(l.said, shareLine{asked, time.Now(), s.Name, line})
		}
		l.mu.Unlock()
	}
}

// around are the lines that name a limit and were said near a time.
func (l *shareLog) around(at time.Time, limit string) string {
	const before, after = 700 * time.Millisecond, 300 * time.Millisecond
	l.mu.Lock()
	defer l.mu.Unlock()
	var text strings.Builder
	for _, line := range l.said {
		if strings.Contains(line.line, limit) && line.answered.After(at.Add(-before)) && line.asked.Before(at.Add(after)) {
			fmt.Fprintf(&text, "%6d to %6d ms, %s: %s\n", line.asked.Sub(at).Milliseconds(), line.answered.Sub(at).Milliseconds(), line.sidecar, line.line)
		}
	}
	return text.String()
}

// peakOf tells of a node's jobs at their peak who sent them, and what the sidecars said of their shares around that time.
func peakOf(r *Fleet, n *fakebackend.Node, limit string, shares *shareLog) string {
	jobs := n.Work.Peak()
	if len(jobs) == 0 {
		return "no jobs"
	}
	at := jobs[len(jobs)-1].Began
	bySidecar := map[string]int{}
	var text strings.Builder
	for _, job := range jobs {
		bySidecar[r.senders[job.Address]]++
		fmt.Fprintf(&text, "%6d ms, %s: %s with %s s\n", job.Began.Sub(at).Milliseconds(), r.senders[job.Address], job.ID, job.Budget)
	}
	return fmt.Sprintf("%v in work at %s:\n%s%s", bySidecar, at.Format(time.StampMicro), text.String(), shares.around(at, limit))
}
