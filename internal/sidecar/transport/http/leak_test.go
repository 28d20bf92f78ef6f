package http

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails if the tests leave a reader, a writer or an actor of a server running.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
