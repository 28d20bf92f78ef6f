package platform

import (
	"testing"

	"go.uber.org/goleak"
)

// After every test, including those that inject faults, no goroutine of a watch or an actor is left.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
