package hollow

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// NotReachedError tells that a condition was not reached within its limit.
type NotReachedError struct {
	Condition string
	Limit     time.Duration
}

func (e *NotReachedError) Error() string {
	return fmt.Sprintf("after %v it does not hold that %s", e.Limit, e.Condition)
}

// until waits for a condition.
func until(ctx context.Context, limit time.Duration, condition string, reached func() (bool, error)) error {
	limited, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	ticker := time.NewTicker(pollPeriod)
	defer ticker.Stop()
	for {
		ok, err := reached()
		if err != nil || ok {
			return err
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "wait until %s", condition)
		case <-limited.Done():
			if ctx.Err() == nil {
				return &NotReachedError{Condition: condition, Limit: limit}
			}
		}
	}
}

// pass lets time pass.
func pass(ctx context.Context, span time.Duration) error {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "let time pass")
	}
}

// durations are measured times.
type durations []time.Duration

func (d *durations) add(one time.Duration) { *d = append(*d, one) }

// quantile is the least time that at least a part of all does not exceed, 0 if there is none.
func (d durations) quantile(part float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(d))
	index := int(part*float64(len(sorted))+0.999999) - 1
	return sorted[min(max(index, 0), len(sorted)-1)]
}

// String tells the middle, the 99th in a hundred and the longest, in milliseconds.
func (d durations) String() string {
	milliseconds := func(part float64) int64 { return d.quantile(part).Milliseconds() }
	return fmt.Sprintf("p50 %d, p99 %d, last %d ms (%d)", milliseconds(0.5), milliseconds(0.99), milliseconds(1), len(d))
}

// reading is what all processes have used at one moment.
type reading struct {
	at       time.Time
	controls []Usage
	workers  Usage
	peers    int64
	feeds    int64
	lists    int
}

func (t *trial) read(ctx context.Context) (reading, error) {
	now := reading{at: time.Now()}
	for _, one := range t.controls {
		usage, err := one.usage()
		if err != nil {
			return now, err
		}
		now.controls = append(now.controls, usage)
	}
	for number, one := range t.workers {
		usage, err := one.usage()
		if err != nil {
			return now, err
		}
		now.workers = now.workers.plus(usage)
		if number == 1 && t.standing {
			now.peers += t.lastSecond.PeerBytes
			now.feeds += t.lastSecond.FeedBytes
			continue
		}
		report, err := t.reportOf(ctx, number)
		if err != nil {
			return now, err
		}
		now.peers += report.PeerBytes
		now.feeds += report.FeedBytes
		now.lists = max(now.lists, report.Lists)
		if number == 1 {
			t.lastSecond = report
		}
	}
	return now, nil
}

// measure plays a phase and prints what it cost.
func (t *trial) measure(ctx context.Context, name string, play func(context.Context) (string, error)) error {
	before, err := t.read(ctx)
	if err != nil {
		return err
	}
	fresh := t.workers // a phase may start new ones, whose usage begins at nothing
	note, err := play(ctx)
	if err != nil {
		return err
	}
	after, err := t.read(ctx)
	if err != nil {
		return err
	}
	if len(fresh) == 0 || fresh[0] != t.workers[0] {
		before.workers, before.peers, before.feeds, before.lists = Usage{}, 0, 0, 0
	}
	t.print(name, before, after, note)
	return nil
}

func (t *trial) printHead() {
	fmt.Fprintf(t.output, "%d agents, %d control machines, %d servers in %d zones, %d routes\n",
		t.Agents, t.Controls, t.Servers, t.Zones, t.Routes)
	fmt.Fprintf(t.output, "%-36s %7s | %9s %9s %9s %9s %9s %6s | %9s %9s %9s %9s %9s | note\n", "phase", "seconds",
		"cpu ms/s", "link B/s", "peer B/s", "feed B/s", "heap KB", "lists", "cpu %", "max cpu %", "in KB/s", "out KB/s", "peak MB")
}

// print tells for each agent its processor time, bytes with control, with other agents and with its proxy, and
// for each control machine its processor time, bytes and memory, all for each second of the phase.
func (t *trial) print(name string, before, after reading, note string) {
	const kilobyte = 1000
	seconds := after.at.Sub(before.at).Seconds()
	agents := float64(t.Agents)
	used := after.workers.since(before.workers)
	peers, feeds := after.peers-before.peers, after.feeds-before.feeds
	link := float64(used.Read + used.Written - 2*peers - 2*feeds)
	var all Usage
	busiest, peak := time.Duration(0), int64(0)
	for number, control := range after.controls {
		one := control.since(before.controls[number])
		busiest = max(busiest, one.Processor)
		peak = max(peak, one.Peak)
		all = all.plus(one)
	}
	controls := float64(len(after.controls))
	fmt.Fprintf(t.output, "%-36s %7.1f | %9.2f %9.0f %9.0f %9.0f %9.0f %6d | %9.2f %9.2f %9.1f %9.1f %9.1f | %s\n", name, seconds,
		used.Processor.Seconds()*1000/seconds/agents, link/seconds/agents, 2*float64(peers)/seconds/agents,
		float64(feeds)/seconds/agents, float64(used.Resident)/1024/agents, after.lists-before.lists,
		all.Processor.Seconds()*100/seconds/controls, busiest.Seconds()*100/seconds,
		float64(all.Read)/kilobyte/seconds/controls, float64(all.Written)/kilobyte/seconds/controls, float64(peak)/1e6, note)
}

func (t *trial) reportOf(ctx context.Context, number int) (Report, error) {
	var report Report
	return report, ask(ctx, t.Deployment, number, "/report", &report)
}

// reports are those of all workers that answer.
func (t *trial) reports(ctx context.Context) ([]Report, error) {
	var reports []Report
	for _, number := range t.workersInService() {
		report, err := t.reportOf(ctx, number)
		if err != nil {
			return nil, err
		}
		reports = append(reports, report)
	}
	return reports, nil
}

// times joins when the proxies of some workers got what.
func (t *trial) times(ctx context.Context, numbers []int) (Times, error) {
	all := Times{Generations: make(map[uint64][]int64), Markers: make(map[int][]int64)}
	for _, number := range numbers {
		var one Times
		if err := ask(ctx, t.Deployment, number, "/times", &one); err != nil {
			return all, err
		}
		for generation, at := range one.Generations {
			all.Generations[generation] = append(all.Generations[generation], at...)
		}
		for marker, at := range one.Markers {
			all.Markers[marker] = append(all.Markers[marker], at...)
		}
	}
	return all, nil
}
