package main

import (
	"os/exec"
	"testing"
)

// TestAColdServerGetsNoMoreThanItBears runs case 1. It is run by its name only; the builds that the case needs have to be done before.
func TestAColdServerGetsNoMoreThanItBears(t *testing.T) {
	command := exec.CommandContext(t.Context(), "bash", "run.sh")
	command.Dir = "../../1"
	if output, err := command.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, output)
	}
}
