package limits

import "time"

// bucketWidth is the resolution at which requests and retries are counted.
const bucketWidth = 100 * time.Millisecond

// windowCounts holds one service's requests and retries of the last window, in a ring of buckets.
type windowCounts struct {
	requests []uint32
	retries  []uint32
	newest   int64 // number of the newest bucket since time 0
}

// newWindowCounts makes a ring that holds the current bucket and those of a whole window before it.
func newWindowCounts(window time.Duration) *windowCounts {
	size := int((window+bucketWidth-1)/bucketWidth) + 1
	return &windowCounts{requests: make([]uint32, size), retries: make([]uint32, size)}
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

// retried is the number of retries in the last window and up to one bucket before it: never too few.
func (c *windowCounts) retried() int {
	total := 0
	for _, count := range c.retries {
		total += int(count)
	}
	return total
}

// requested is the number of requests in the last window, less up to one bucket: never too many.
func (c *windowCounts) requested() int {
	total := 0
	for age := range len(c.requests) - 1 {
		total += int(c.requests[c.slot(age)])
	}
	return total
}

// lowerBound is a number of requests that the rule's count of any window with the last retry in it still finds. The
// rule takes the greatest of that window, the one before and the one half a window before. Against the window that ends
// now, two of the three miss only its first x and its last half less x. The mean of these two bounds the greatest from
// below, and means of several proxies add up.
func (c *windowCounts) lowerBound() float64 {
	buckets := len(c.requests) - 1
	half := buckets / 2
	first, last := 0, 0 // requests in the first x buckets and in the last half-x of the window
	for age := range half {
		last += int(c.requests[c.slot(age)])
	}
	worst := last
	for x := 1; x <= half; x++ {
		first += int(c.requests[c.slot(buckets-x)])
		last -= int(c.requests[c.slot(half-x)])
		worst = max(worst, first+last)
	}
	return float64(c.requested()) - float64(worst)/2
}

// idle reports whether nothing was counted in the last window.
func (c *windowCounts) idle() bool { return c.retried() == 0 && c.requested() == 0 }
