package fakebackend

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Job is a job that an execute node works at.
type Job struct {
	Address string // of the node, by which it came
	ID      string
	Began   time.Time
	Budget  string // as it came
}

// WorkLog records the jobs in work at a node at the moment when there were most of them. The zero WorkLog is ready.
type WorkLog struct {
	mu   sync.Mutex
	last uint64
	now  map[uint64]Job
	peak []Job
}

// begin records a job until the function that it returns is called.
func (l *WorkLog) begin(job Job) (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.now == nil {
		l.now = make(map[uint64]Job)
	}
	l.last++
	number := l.last
	l.now[number] = job
	if len(l.now) > len(l.peak) {
		l.peak = slices.Collect(maps.Values(l.now))
	}
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.now, number)
	}
}

// Peak is the jobs that were in work when there were most, by the time at which they began.
func (l *WorkLog) Peak() []Job {
	l.mu.Lock()
	defer l.mu.Unlock()
	jobs := slices.Clone(l.peak)
	slices.SortFunc(jobs, func(a, b Job) int { return a.Began.Compare(b.Began) })
	return jobs
}
