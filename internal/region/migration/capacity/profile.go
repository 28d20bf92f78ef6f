package capacity

import "time"

// Period is a period of time with the peak demand expected in it.
type Period struct {
	Begin time.Duration // since midnight, or since the beginning of the profile
	End   time.Duration
	Loads []Load
}

// Profile is the demand over time: consecutive periods without gaps from 0 to Cycle, repeated every Cycle. With a Cycle
// of 0 the first period applies at any time.
type Profile struct {
	Cycle   time.Duration
	Periods []Period
}

// Constant returns a profile with the same demand at any time.
func Constant(loads []Load) Profile { return Profile{Periods: []Period{{Loads: loads}}} }

// PeriodsDuring returns the indexes of the periods that overlap the time from begin to end. The end is exclusive; if
// begin equals end, the result is the period at that time.
func (p *Profile) PeriodsDuring(begin, end time.Duration) []int {
	if p.Cycle <= 0 || end-begin >= p.Cycle {
		return p.allPeriods()
	}
	var during []int
	for index := range p.Periods {
		if p.overlaps(&p.Periods[index], begin, end) {
			during = append(during, index)
		}
	}
	return during
}

func (p *Profile) allPeriods() []int {
	all := make([]int, len(p.Periods))
	for index := range all {
		all[index] = index
	}
	return all
}

// overlaps reports whether an occurrence of the period overlaps the time from begin to end. That time must be shorter than
// a cycle, so that only the cycle that contains begin and the next one matter.
func (p *Profile) overlaps(period *Period, begin, end time.Duration) bool {
	cycleStart := begin / p.Cycle * p.Cycle
	for _, start := range []time.Duration{cycleStart, cycleStart + p.Cycle} {
		if period.Begin+start < end && begin < period.End+start {
			return true
		}
	}
	return begin == end && period.Begin <= begin-cycleStart && begin-cycleStart < period.End
}

// ChangesFrom returns begin, followed by the times within one cycle after it at which a period begins, in ascending order.
func (p *Profile) ChangesFrom(begin time.Duration) []time.Duration {
	changes := []time.Duration{begin}
	if p.Cycle <= 0 {
		return changes
	}
	cycleStart := begin / p.Cycle * p.Cycle
	for _, start := range []time.Duration{cycleStart, cycleStart + p.Cycle} {
		for index := range p.Periods {
			at := p.Periods[index].Begin + start
			if at > begin && at < begin+p.Cycle {
				changes = append(changes, at)
			}
		}
	}
	return changes
}
