package plan

import (
	"container/heap"
	"slices"
)

// maxExhaustivePairs is the number of pairs of a state and a stage up to which the search is exhaustive.
const maxExhaustivePairs = 200_000

// exhaustiveIsAffordable reports whether there are few enough pairs of a state and a stage to try all.
func (s *searcher) exhaustiveIsAffordable() bool {
	states := 1
	for _, count := range s.goal {
		states *= int(count) + 1
		if states > maxExhaustivePairs {
			return false
		}
	}
	stages := 0
	return s.eachBatch(make(counts, len(s.goal)), func(counts) bool {
		stages++
		return stages*states <= maxExhaustivePairs
	})
}

// frontier is a priority queue of steps; it implements heap.Interface.
type frontier []*step

func (f frontier) Len() int           { return len(f) }
func (f frontier) Less(i, j int) bool { return f[i].less(f[j]) }
func (f frontier) Swap(i, j int)      { f[i], f[j] = f[j], f[i] }
func (f *frontier) Push(x any)        { *f = append(*f, x.(*step)) }

func (f *frontier) Pop() any {
	last := (*f)[len(*f)-1]
	*f = (*f)[:len(*f)-1]
	return last
}

// searchExhaustively finds the order that ends first, by Dijkstra's algorithm over the states. The result is
// exact although a stage can begin only at some times: a run can wait in a state for any time, so that reaching the state
// sooner is never worse. The result is the last step or, if there is no order, the step with the most replacements done.
func (s *searcher) searchExhaustively() (last *step, complete bool) {
	origin := &step{done: make(counts, len(s.goal)), end: s.input.Begin}
	open := &frontier{origin}
	visited := make(map[string]bool)
	farthest := origin
	for open.Len() > 0 {
		current := heap.Pop(open).(*step)
		if visited[string(current.done)] {
			continue
		}
		visited[string(current.done)] = true
		if slices.Equal(current.done, s.goal) {
			return current, true
		}
		if current.done.total() > farthest.done.total() {
			farthest = current
		}
		s.eachBatch(current.done, func(batch counts) bool {
			if visited[string(current.done.plus(batch))] {
				return true
			}
			if next, _ := s.extend(current, batch); next != nil {
				heap.Push(open, next)
			}
			return true
		})
	}
	return farthest, false
}

// eachBatch calls visit for every stage within the pool limits that could follow a state, until visit returns false. It
// reports whether visit always returned true. The batch is reused between calls, so that visit must not retain it.
func (s *searcher) eachBatch(done counts, visit func(counts) bool) bool {
	return s.batchesFrom(0, done, make(counts, len(done)), slices.Clone(s.poolLimits), visit)
}

// batchesFrom enumerates the counts of the classes from an index on. remaining has the number of nodes of each pool that
// may still be replaced; it is restored before the function returns true.
func (s *searcher) batchesFrom(index int, done, batch counts, remaining []int, visit func(counts) bool) bool {
	if index == len(batch) {
		return batch.total() == 0 || visit(batch)
	}
	pool := s.classPools[index]
	for {
		if !s.batchesFrom(index+1, done, batch, remaining, visit) {
			return false
		}
		if batch[index] == s.goal[index]-done[index] || remaining[pool] == 0 {
			break
		}
		batch[index]++
		remaining[pool]--
	}
	remaining[pool] += int(batch[index])
	batch[index] = 0
	return true
}
