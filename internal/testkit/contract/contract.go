// Package contract holds conformance tests for stores, channels, transports and list sources. Like testing/slogtest of the
// standard library, each test suite takes a maker of an implementation and checks it from outside; one call of Run applies
// all clauses to a new implementation. The clauses are checked as well: for each one a deliberately faulty implementation
// (for stores in broken_test.go) violates it, and the suite must report this clause.
package contract

import (
	"fmt"
	"testing"
	"time"
)

// T is what a clause needs of the test that runs it: a *testing.T, or a recorder for deliberately faulty implementations.
type T interface {
	// Helper marks its caller as a test helper, so that failures report the line of the helper's caller.
	Helper()
	// TempDir returns a directory that is removed when the test ends.
	TempDir() string
	// Logf writes to the test's log.
	Logf(format string, args ...any)
}

// waitTimeout bounds every wait for a condition. A passing test does not reach it.
const waitTimeout = 10 * time.Second

// Clause is one requirement on an implementation. Failure messages begin with its name.
type Clause[M any] struct {
	Name string
	// Check returns an error that describes the violation, or nil.
	Check func(t T, maker M) error
}

// Run checks an implementation against all clauses, each in a subtest.
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

// Broken returns the names of the clauses that an implementation violates, and logs each violation.
func Broken[M any](t T, clauses []Clause[M], maker M) (names []string) {
	for _, c := range clauses {
		if err := c.Check(t, maker); err != nil {
			t.Logf("%s: %v", c.Name, err)
			names = append(names, c.Name)
		}
	}
	return names
}

// until polls a condition until it holds, and returns an error that names the condition after waitTimeout.
func until(what string, cond func() bool) error {
	for end := time.Now().Add(waitTimeout); !cond(); <-time.After(time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("condition not met within %v: %s", waitTimeout, what)
		}
	}
	return nil
}
