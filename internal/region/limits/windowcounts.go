package limits

import (
	"math"
	"time"
)

// bucketWidth is the resolution at which requests and retries are counted.
const bucketWidth = 100 * time.Millisecond

// windowCounts holds one service's requests and retries of the last two windows, in a ring of buckets.
//
// The rule counts the retries of a window that begins at any instant s, and compares them with the requests of that
// window, of the one before it or of the one half a window earlier, whichever holds most. The mean of the three bounds
// the greatest from below, and unlike the greatest it is a sum over requests: what several processes count, each its own
// requests, adds up to what the rule finds, however their traffic differs and whenever one of them started anew.
type windowCounts struct {
	requests []uint32
	retries  []uint32
	newest   int64 // number of the newest bucket since time 0

	windowBuckets     int // whole buckets in a window
	halfWindowBuckets int // whole buckets in half a window
	oldestAge         int // age of the bucket in which a window that reaches to now may begin
	// cumulative[i] is the number of requests in the i newest buckets; scratch of spare.
	cumulative []int
}

// newWindowCounts makes a ring for the windows, and those before them, that reach to the current instant.
func newWindowCounts(window time.Duration) *windowCounts {
	full := int(window / bucketWidth)
	oldest := int((window + bucketWidth - 1) / bucketWidth)
	size := oldest + full
	return &windowCounts{
		requests:          make([]uint32, size),
		retries:           make([]uint32, size),
		windowBuckets:     full,
		halfWindowBuckets: int(window / 2 / bucketWidth),
		oldestAge:         oldest,
		cumulative:        make([]int, size+1),
	}
}

// advance makes the bucket of now the newest, and clears the buckets that are reused for it.
func (c *windowCounts) advance(now time.Duration) {
	bucket := int64(now / bucketWidth)
	if bucket-c.newest >= int64(len(c.requests)) {
		clear(c.requests)
		clear(c.retries)
		c.newest = bucket
		return
	}
	for c.newest < bucket {
		c.newest++
		slot := c.slot(0)
		c.requests[slot], c.retries[slot] = 0, 0
	}
}

// slot is the index of the bucket that is age buckets older than the newest.
func (c *windowCounts) slot(age int) int {
	size := int64(len(c.requests))
	return int(((c.newest-int64(age))%size + size) % size)
}

// remainingRetries is the number of further retries that keep every window that reaches to now within ratio times the mean of its
// three counts of requests, plus extra. A window begins somewhere in a bucket: all retries of that bucket are counted,
// and of its requests only those that any such window finds.
func (c *windowCounts) remainingRetries(ratio, extra float64) float64 {
	c.accumulate()
	retries := 0
	least := math.Inf(1)
	for age := range c.oldestAge + 1 {
		retries += int(c.retries[c.slot(age)])
		least = min(least, ratio*c.meanRequests(age)+extra-float64(retries))
	}
	return least
}

// meanRequests is the mean of the three counts of requests for a window that begins in the bucket of an age. It is never
// too many. The cumulative counts must be current.
func (c *windowCounts) meanRequests(age int) float64 {
	inside := c.requestsBetween(0, age)
	before := c.requestsBetween(age+1, age+c.windowBuckets)
	around := c.requestsBetween(age+1-c.halfWindowBuckets, age+c.halfWindowBuckets)
	return float64(inside+before+around) / 3
}

// requestsBetween is the number of requests in the buckets whose age is from youngest to below end.
func (c *windowCounts) requestsBetween(youngest, end int) int {
	youngest, end = max(youngest, 0), min(max(end, 0), len(c.requests))
	return max(c.cumulative[end]-c.cumulative[min(youngest, end)], 0)
}

func (c *windowCounts) accumulate() {
	for age := range c.requests {
		c.cumulative[age+1] = c.cumulative[age] + int(c.requests[c.slot(age)])
	}
}

// idle reports whether nothing was counted in the last two windows.
func (c *windowCounts) idle() bool {
	for slot := range c.requests {
		if c.requests[slot] > 0 || c.retries[slot] > 0 {
			return false
		}
	}
	return true
}
