package limits

import (
	"math"
	"time"
)

// bucketWidth is the time resolution of the request and retry counts.
const bucketWidth = 100 * time.Millisecond

// windowCounts counts the requests to one service and their retries over the last two windows, in a ring of buckets.
//
// The retry limit compares the retries in a window that begins at any instant with the largest of three request counts:
// the counts of the same window, of the preceding window, and of the window that begins half a window earlier.
// windowCounts uses the mean of the three instead, which is never more than the largest. Unlike the largest, the mean
// is linear in the requests, so the counts of several proxies, each of its own requests, add up to the mean over all of
// them. The sum therefore stays within the limit even if the proxies' traffic differs or one of the proxies restarts.
type windowCounts struct {
	requests []uint32
	retries  []uint32
	newest   int64 // index of the newest bucket, counted from time 0

	windowBuckets     int // whole buckets in a window
	halfWindowBuckets int // whole buckets in half a window
	oldestAge         int // largest age, in buckets, of the bucket in which a window that ends now begins
	// cumulative[i] is the number of requests in the i newest buckets. It is a scratch buffer of remainingRetries.
	cumulative []int
}

// newWindowCounts returns counts that cover the windows ending now and the windows before them.
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

// advance makes the bucket of now the newest one, and clears the buckets that it reuses.
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

// slot returns the ring index of the bucket that is age buckets older than the newest one.
func (c *windowCounts) slot(age int) int {
	size := int64(len(c.requests))
	return int(((c.newest-int64(age))%size + size) % size)
}

// remainingRetries returns the number of further retries for which every window that ends now stays within ratio
// times its mean request count, plus extra. A window may begin anywhere in a bucket. All retries of that bucket are
// counted, but only the requests that every window beginning in the bucket contains.
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

// meanRequests returns the mean of the three request counts (see windowCounts) for a window that begins in the bucket
// of the given age. The result is never too high. The caller must call accumulate first.
func (c *windowCounts) meanRequests(age int) float64 {
	inside := c.requestsBetween(0, age)
	before := c.requestsBetween(age+1, age+c.windowBuckets)
	around := c.requestsBetween(age+1-c.halfWindowBuckets, age+c.halfWindowBuckets)
	return float64(inside+before+around) / 3
}

// requestsBetween returns the number of requests in the buckets with youngest <= age < end.
func (c *windowCounts) requestsBetween(youngest, end int) int {
	youngest, end = max(youngest, 0), min(max(end, 0), len(c.requests))
	return max(c.cumulative[end]-c.cumulative[min(youngest, end)], 0)
}

func (c *windowCounts) accumulate() {
	for age := range c.requests {
		c.cumulative[age+1] = c.cumulative[age] + int(c.requests[c.slot(age)])
	}
}

// idle reports whether no request or retry was counted in the last two windows.
func (c *windowCounts) idle() bool {
	for slot := range c.requests {
		if c.requests[slot] > 0 || c.retries[slot] > 0 {
			return false
		}
	}
	return true
}
