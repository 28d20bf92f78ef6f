// Command fieldrelay-fleet is the sidecar with the code for a fleet of sidecars.
// Command fieldrelay executes it if the operator's file names a fleet.
package main

import (
	"github.com/rs/zerolog"

	"fieldrelay/internal/sidecar/daemon"
	"fieldrelay/internal/sidecar/fleet"
)

func main() {
	daemon.Main(func(o daemon.FleetOptions, log zerolog.Logger) (daemon.Fleet, error) {
		f, err := fleet.Start(o, log)
		if err != nil { // a nil *fleet.Fleet in a daemon.Fleet would not equal nil
			return nil, err
		}
		return f, nil
	})
}
