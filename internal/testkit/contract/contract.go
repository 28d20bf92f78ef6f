// Package contract holds what every store, channel, transport and list source
// promises, as tests that take a maker and judge any implementation from
// outside, in the way of the standard library's testing/slogtest. A new
// implementation gets the whole set in one line. Each clause has an
// implementation that breaks it on purpose (broken_test.go), and the contract
// must name that clause.
package contract

import (
	"fmt"
	"testing"
	"time"
)

// T is what a contract reports to: a *testing.T, or, for implementations that are broken on purpose, a recorder.
type T interface {
	// Helper marks its caller as a helper, whose line a failure does not name.
	Helper()
	// TempDir returns a folder that is removed with the end of the test.
	TempDir() string
	// Logf writes to the test's log.
	Logf(format string, args ...any)
}

// waitTimeout bounds every wait for a condition. A test that passes never needs it.
const waitTimeout = 10 * time.Second

// Clause is one promise; its name is what a failure begins with.
type Clause[M any] struct {
	Name string
	// Check gives what breaks the promise.
	Check func(t T, maker M) error
}

// Run judges an implementation by all clauses that its maker can be judged by.
func Run[M any](t *testing.T, clauses []Clause[M], maker M) {
	t.Helper()
	for _, c := range clauses {
		t.Run(c.Name, func(t *testing.T) {
			if err := c.Check(t, maker); err != nil {
				t.Errorf("%s: %v", c.Name, err)
			}
		})
	}
}

// Broken gives the names of the clauses that an implementation breaks.
func Broken[M any](t T, clauses []Clause[M], maker M) (names []string) {
	for _, c := range clauses {
		if err := c.Check(t, maker); err != nil {
			t.Logf("%s: %v", c.Name, err)
			names = append(names, c.Name)
		}
	}
	return names
}

// until waits for a condition.
func until(what string, cond func() bool) error {
	for end := time.Now().Add(waitTimeout); !cond(); <-time.After(time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("not within %v: %s", waitTimeout, what)
		}
	}
	return nil
}
