// Package cases runs the scripts of the second review. Its tests are run by their names only; the build line of
// deploy/system.toml and review/build-2.sh have to be run before.
package cases

import (
	"os/exec"
	"testing"
)

// TestAcknowledgedKeysOutliveDisksThatAreLostOneAfterAnother runs case 4.
func TestAcknowledgedKeysOutliveDisksThatAreLostOneAfterAnother(t *testing.T) {
	runCase(t, "4")
}

// TestControlMachinesServeOnAfterAllWereKilledOnce runs case 5.
func TestControlMachinesServeOnAfterAllWereKilledOnce(t *testing.T) {
	runCase(t, "5")
}

// TestAConfigurationThatIsNotUTF8IsRefused runs case 6.
func TestAConfigurationThatIsNotUTF8IsRefused(t *testing.T) {
	runCase(t, "6")
}

func runCase(t *testing.T, number string) {
	command := exec.CommandContext(t.Context(), "sh", "run.sh")
	command.Dir = "../../../" + number
	if output, err := command.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, output)
	}
}
