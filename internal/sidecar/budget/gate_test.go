package budget

import (
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// fill reserves all bytes that large reservations may use.
func fill(t *testing.T, g *Gate) []*Charge {
	t.Helper()
	var held []*Charge
	for {
		c, err := g.Reserve(Reservation{Kind: Requests, Bytes: 64 << 10, Value: 1}, time.Now(), nil)
		if err != nil {
			return held
		}
		held = append(held, c)
	}
}

func TestReserveWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate(mb, 9)
		held := fill(t, g)
		ask := Reservation{Kind: Requests, Bytes: 64 << 10, Value: 1}

		start := time.Now()
		if _, err := g.Reserve(ask, start.Add(time.Second), nil); !errors.Is(err, ErrNoBytes) || time.Since(start) != time.Second {
			t.Errorf("error %v after %v, want ErrNoBytes after 1s", err, time.Since(start))
		}
		left := make(chan struct{})
		time.AfterFunc(time.Second, func() { close(left) })
		if _, err := g.Reserve(ask, start.Add(time.Hour), left); !errors.Is(err, ErrCanceled) {
			t.Error(err)
		}
		time.AfterFunc(time.Second, held[0].Release)
		c, err := g.Reserve(ask, time.Now().Add(time.Hour), nil)
		if err != nil {
			t.Fatal(err)
		}
		time.AfterFunc(time.Second, func() { g.DropLarge(3) })
		if _, err := g.Reserve(ask, time.Now().Add(time.Hour), nil); !errors.Is(err, ErrNoBytes) {
			t.Errorf("reservation dropped from the queue: error %v, want ErrNoBytes", err)
		}
		for _, c := range append(held[1:], c) {
			c.Release()
		}
		if s := g.State(); s.Sum() != 0 || s.Waiting != 0 {
			t.Errorf("state %+v after all charges were released", s)
		}
	})
}

// The bytes of a charge are returned when its last holder releases it. A further release panics, since it is a bug of
// the caller.
func TestChargeIsReturnedOnce(t *testing.T) {
	g := NewGate(mb, 1)
	c := g.ForceReserve(Lists, 10)
	c.Retain()
	c.Release()
	if s := g.State(); s.Reserved[Lists] != 10 {
		t.Errorf("state %+v with one holder left, want 10 bytes of lists", s)
	}
	c.Release()
	if s := g.State(); s.Sum() != 0 {
		t.Errorf("state %+v after all charges were released", s)
	}
	defer func() {
		if recover() == nil {
			t.Error("a release without a holder did not panic")
		}
	}()
	c.Release()
}

// Many goroutines that reserve, wait, time out and release concurrently leave no bytes reserved. Run with the race
// detector, the test also finds data races.
func TestGateUnderManyGoroutines(t *testing.T) {
	g := NewGate(2*mb, 16)
	var all sync.WaitGroup
	for seed := range uint64(64) {
		all.Go(func() {
			rng := rand.New(rand.NewPCG(seed, 1))
			for range 50 {
				kind := []Kind{Requests, Answers}[rng.IntN(2)]
				c, err := g.Reserve(Reservation{Kind: kind, Bytes: rng.Int64N(64 << 10), Value: rng.Float64() + 0.1},
					time.Now().Add(time.Duration(rng.IntN(2000))*time.Microsecond), nil)
				if err == nil {
					c.Retain()
					go c.Release()
					c.Release()
				}
			}
		})
	}
	all.Wait()
	for range 1000 {
		if g.State().Sum() == 0 {
			break
		}
		time.Sleep(time.Millisecond) // wait for the last goroutines that release
	}
	if s := g.State(); s.Sum() != 0 || s.Waiting != 0 {
		t.Errorf("state %+v after all charges were released", s)
	}
}
