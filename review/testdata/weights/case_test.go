package main

import (
	"os/exec"
	"testing"
)

// TestAServerGetsRequestsAgainAfterItAnswered421 runs case 2. It is run by its name only; the builds that the case needs have to be done before.
func TestAServerGetsRequestsAgainAfterItAnswered421(t *testing.T) {
	command := exec.CommandContext(t.Context(), "bash", "run.sh")
	command.Dir = "../../2"
	if output, err := command.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, output)
	}
}
