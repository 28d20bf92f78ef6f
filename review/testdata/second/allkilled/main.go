// Command allkilled is case 5 of the second review: applications put values, and all control processes are killed once
// and come back at once.
package main

import (
	"os"
	"time"

	"fieldrelay/review/testdata/second/cells"
	"fieldrelay/review/testdata/second/rig"
)

const killAt = 45 * time.Second

func main() {
	os.Exit(cells.Case{
		ValueBytes: 10 << 10,
		Keys:       40,
		Groups:     8,
		Text:       "v",
		PerSecond:  56,
		WriteFor:   84 * time.Second,
		Trouble:    killAll,
	}.Run(os.Args[1]))
}

func killAll(system *rig.System, start time.Time) error {
	time.Sleep(time.Until(start.Add(killAt)))
	for _, machine := range system.Controls {
		system.Kill(machine, "control")
	}
	time.Sleep(300 * time.Millisecond)
	for _, machine := range system.Controls {
		if err := system.Start(machine, "control"); err != nil {
			return err
		}
	}
	return nil
}
