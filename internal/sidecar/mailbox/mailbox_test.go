package mailbox

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Two actors that send to each other from within their messages do not deadlock.
func TestPutNeverBlocksAndOrderIsKept(t *testing.T) {
	a, b := New(), New()
	var got []int
	done := make(chan struct{})
	var toA, toB func(n int)
	toB = func(n int) { b.Put(func() { toA(n); toA(n + 1) }) }
	toA = func(n int) {
		a.Put(func() {
			if got = append(got, n); n == 0 {
				toB(10)
				toB(20)
			}
			if len(got) == 5 {
				b.Close()
				a.Close()
				toA(99) // dropped
			}
		})
	}
	toA(0)
	go b.Run()
	go func() {
		defer close(done)
		a.Run()
	}()
	<-done
	if diff := cmp.Diff([]int{0, 10, 11, 20, 21}, got); diff != "" {
		t.Error(diff)
	}
}
