// Command lostdisks is case 4 of the second review: applications put values, and the control machines lose their disks
// one after another, each after the one before it has had the time that the pages give it to come back.
package main

import (
	"os"
	"time"

	"fieldrelay/review/testdata/second/cells"
	"fieldrelay/review/testdata/second/rig"
)

const (
	firstLoss = 42 * time.Second
	away      = 500 * time.Millisecond  // time for which a machine is down
	settled   = 6500 * time.Millisecond // time from a machine's start to the next loss: sync-s and half a second
)

func main() {
	os.Exit(cells.Case{
		ValueBytes: 10 << 10, // under a sixth of the documented limit
		Keys:       40,
		Groups:     8,
		PerSecond:  56,
		WriteFor:   64 * time.Second,
		SlowAfter:  firstLoss - 2*time.Second,
		Bounds:     map[string]string{"sync-s": "6"},
		Trouble:    loseDisks,
	}.Run(os.Args[1]))
}

func loseDisks(system *rig.System, start time.Time) error {
	time.Sleep(time.Until(start.Add(firstLoss)))
	for _, machine := range system.Controls {
		system.Kill(machine, "control")
		if err := system.WipeDisk(machine); err != nil {
			return err
		}
		time.Sleep(away)
		if err := system.Start(machine, "control"); err != nil {
			return err
		}
		time.Sleep(settled)
	}
	return nil
}
