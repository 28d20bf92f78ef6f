package memorytuner

// Parameters of the division of the process's memory limit.
const (
	marginFraction   = 0.06    // fraction of the limit left free, since a collector that gets no core for a moment finishes late
	minMargin        = 5 << 19 // lower bound of the free margin in bytes
	liveFraction     = 0.7     // fraction of the remaining memory that may be live; with less garbage space the collector never stops
	minHeap          = 2 << 20 // bytes beyond the floor without which no budget can work
	shrinkFraction   = 0.5     // fraction of the excess that the budget shrinks by at a check
	growFraction     = 0.05    // fraction of the full size that the budget grows by at a check
	shrinkAbove      = 0.95    // fraction of the limit: the budget shrinks while more memory is resident
	growBelow        = 0.85    // fraction of the limit: the budget may grow while less memory is resident
	maxGCPercent     = 100     // the runtime's default (GOGC)
	minGCPercent     = 25      // lower bound of the collector's percentage
	untouchedProgram = 1 << 20 // bytes of the program that are not resident until it serves
)

// Plan divides a memory limit. Its methods are pure: they use no I/O or clock.
type Plan struct {
	Limit int64 // memory limit of the process in bytes
	Floor int64 // bytes that the process uses before it serves
	File  int64 // bytes allowed for pages of files
}

// NewPlan returns a plan from the sizes of a process that does not serve yet. It adds untouchedProgram, the part of the
// program that becomes resident once the process serves.
func NewPlan(limit int64, sizes Sizes) Plan {
	return Plan{Limit: limit, Floor: sizes.Resident + untouchedProgram, File: sizes.File + untouchedProgram}
}

// usable returns the limit without the free margin.
func (p Plan) usable() int64 { return p.Limit - max(int64(marginFraction*float64(p.Limit)), minMargin) }

// Budget returns the number of live bytes that may be reserved.
func (p Plan) Budget() int64 {
	return int64(liveFraction * float64(max(p.usable()-p.Floor, minHeap)))
}

// Collector returns the soft memory limit of the Go runtime in bytes and the collector's percentage (GOMEMLIMIT and GOGC) for
// a number of reserved bytes. With the limit alone the runtime would collect continuously near the limit. Memory that the
// runtime counts but that is not resident is added to the limit: without that, a small limit was reached while a quarter of
// it was free.
func (p Plan) Collector(sizes Sizes, reserved int64) (limit int64, percent int) {
	limit = p.usable() - max(sizes.File, p.File) + sizes.untouched()
	heap := max(p.Floor-p.File, 0) + reserved
	return limit, int(min(max(100*(limit-heap)/max(heap, 1), minGCPercent), maxGCPercent))
}

// Surplus reports whether much more is resident than the program and the reserved bytes take: such
// memory is left by a burst that caused no pressure, and the runtime alone returns it over minutes.
func (p Plan) Surplus(sizes Sizes, reserved int64) bool {
	return sizes.Resident > p.Floor+2*reserved+p.Limit/8
}

// Resize returns the size that the budget should have after a check, and the number of bytes by which it shrinks. total is
// the present size of the budget, full its initial size.
func (p Plan) Resize(total, full, resident int64) (size, by int64) {
	if excess := resident - int64(shrinkAbove*float64(p.Limit)); excess > 0 {
		by = int64(shrinkFraction * float64(excess))
		return total - by, by
	}
	if resident < int64(growBelow*float64(p.Limit)) {
		return min(total+int64(growFraction*float64(full)), full), 0
	}
	return total, 0
}
