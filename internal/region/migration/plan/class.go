package plan

import (
	"slices"
)

// class is a set of replacements that are equivalent for planning: only their number matters.
type class struct {
	members []Replacement // in the order of the input
}

func (c *class) sample() *Replacement { return &c.members[0] }

// classify groups the replacements into classes. Classes and their members are in the order of the input.
func classify(replacements []Replacement) []class {
	var classes []class
	for _, replacement := range replacements {
		found := slices.IndexFunc(classes, func(candidate class) bool {
			return equivalent(candidate.sample(), &replacement)
		})
		if found < 0 {
			classes = append(classes, class{})
			found = len(classes) - 1
		}
		classes[found].members = append(classes[found].members, replacement)
	}
	return classes
}

func equivalent(a, b *Replacement) bool {
	return a.Surge == b.Surge && a.Times == b.Times && a.Old.Group() == b.Old.Group() && a.New.Group() == b.New.Group() &&
		a.Old.InterchangeableWith(&b.Old) && a.New.InterchangeableWith(&b.New)
}

// counts holds a number of replacements for each class: those already done, or those of one stage.
type counts []uint8

// maxReplacements is the largest number of replacements, limited by the element type of counts.
const maxReplacements = 255

func (c counts) plus(other counts) counts {
	sum := slices.Clone(c)
	for index, count := range other {
		sum[index] += count
	}
	return sum
}

func (c counts) total() int {
	total := 0
	for _, count := range c {
		total += int(count)
	}
	return total
}

// project returns the counts of the given classes.
func (c counts) project(classes []int) counts {
	selected := make(counts, 0, len(classes))
	for _, index := range classes {
		selected = append(selected, c[index])
	}
	return selected
}
