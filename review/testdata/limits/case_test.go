package main

import (
	"os/exec"
	"testing"
)

// TestRequestsOnKeptConnectionsAreJudgedByTheNewLimit runs case 3. It is run by its name only; the builds that the case needs have to be done before.
func TestRequestsOnKeptConnectionsAreJudgedByTheNewLimit(t *testing.T) {
	command := exec.CommandContext(t.Context(), "bash", "run.sh")
	command.Dir = "../../3"
	if output, err := command.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, output)
	}
}
