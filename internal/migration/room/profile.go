package room

import "time"

// Period is a span of the day with the demand that is expected in it, at its highest.
type Period struct {
	Begin time.Duration // since midnight, or since the beginning of the profile
	End   time.Duration
	Loads []Load
}

// Profile is the demand over time: periods that follow each other without gaps from 0 to Cycle, over and over.
// With a Cycle of 0 the first period holds at any time.
type Profile struct {
	Cycle   time.Duration
	Periods []Period
}

// Constant is a profile with one demand at any time.
func Constant(loads []Load) Profile { return Profile{Periods: []Period{{Loads: loads}}} }

// PeriodsDuring gives the periods, by index, that the time from begin to end touches.
func (p *Profile) PeriodsDuring(begin, end time.Duration) []int {
	if p.Cycle <= 0 || end-begin >= p.Cycle {
		return p.allPeriods()
	}
	var touched []int
	for index := range p.Periods {
		if p.overlaps(&p.Periods[index], begin, end) {
			touched = append(touched, index)
		}
	}
	return touched
}

func (p *Profile) allPeriods() []int {
	all := make([]int, len(p.Periods))
	for index := range all {
		all[index] = index
	}
	return all
}

func (p *Profile) overlaps(period *Period, begin, end time.Duration) bool {
	shift := begin / p.Cycle * p.Cycle
	for _, offset := range []time.Duration{shift, shift + p.Cycle} {
		if period.Begin+offset < end && begin < period.End+offset {
			return true
		}
	}
	return begin == end && period.Begin <= begin-shift && begin-shift < period.End
}

// ChangesFrom gives the moments, from begin to one cycle later, at which another demand sets in: begin first, then
// the beginnings of periods in their order.
func (p *Profile) ChangesFrom(begin time.Duration) []time.Duration {
	starts := []time.Duration{begin}
	if p.Cycle <= 0 {
		return starts
	}
	shift := begin / p.Cycle * p.Cycle
	for _, offset := range []time.Duration{shift, shift + p.Cycle} {
		for index := range p.Periods {
			at := p.Periods[index].Begin + offset
			if at > begin && at < begin+p.Cycle {
				starts = append(starts, at)
			}
		}
	}
	return starts
}
