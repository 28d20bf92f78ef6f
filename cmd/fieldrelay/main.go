// Command fieldrelay is the sidecar: it accepts jobs from the submitter on the
// same machine and places them on execute nodes. The platform starts it without
// arguments, and then it serves. With arguments it executes fieldrelayctl, which
// is in the same folder and parses them. If the operator's file names a fleet, it
// executes fieldrelay-fleet instead of serving: the code that only a fleet needs
// would cost each sidecar without a fleet 8 MB of memory.
package main

import "fieldrelay/internal/sidecar/daemon"

func main() { daemon.Main(nil) }
