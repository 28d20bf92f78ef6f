package main

import (
	"io"

	"fieldrelay/internal/region/control"
	"fieldrelay/internal/region/ring"

	pb "fieldrelay/api/fieldrelay/v1"
)

// checkState prints the content of a control machine's state folder and what a start would recover. It returns a
// *FaultyFileError if a control machine could not start on it. It only reads, so the control
// machine may be running.
func checkState(output io.Writer, folder string) error {
	inspection, err := control.Inspect(folder)
	if err != nil {
		return err
	}
	report := printer{output: output}
	for _, file := range inspection.Ring.Files {
		printRingFile(report, file)
	}
	printRecoveredState(report, inspection)
	if inspection.Failure != nil {
		report.line("%s: a control machine cannot start: %v", folder, inspection.Failure)
		return &FaultyFileError{Path: folder, Faults: 1}
	}
	report.line("%s: no faults", folder)
	return nil
}

// printRingFile prints the state of a ring file and its records.
func printRingFile(report printer, file ring.FileReport) {
	switch {
	case !file.HeaderValid:
		report.line("%s: %d bytes, never written, or its header is torn", file.Name, file.Bytes)
		return
	case !file.SnapshotValid:
		report.line("%s: %d bytes, epoch %d, no complete snapshot: not used", file.Name, file.Bytes, file.Epoch)
		return
	}
	use := "older"
	if file.Current {
		use = "current"
	}
	report.line("%s: %d bytes, epoch %d, %s: snapshot of %d bytes, %d records, %d bytes used, then %s",
		file.Name, file.Bytes, file.Epoch, use, file.SnapshotBytes, len(file.Records), file.End, file.Ending)
	for _, record := range file.Records {
		report.line("  %d %s, %d bytes", record.Sequence, control.RecordName(record.Kind), record.Bytes)
	}
}

// printRecoveredState prints the state that a control machine would recover at its start.
func printRecoveredState(report printer, inspection *control.Inspection) {
	if inspection.Ring.Recovered == nil {
		return
	}
	if inspection.Ring.Recovered.Fresh {
		report.line("recovers: nothing, the ring is empty")
		return
	}
	report.line("recovers: identity %s, bootstrap: %t", inspection.Identity, inspection.Bootstrap)
	printView(report, inspection.View, inspection.SynchronizedView)
	if promise := inspection.Promise; promise != nil {
		report.line("recovers: promise for view %d to %s, round %d, accepted a value: %t",
			promise.GetViewNumber(), promise.GetPromised().GetProposer(), promise.GetPromised().GetRound(),
			promise.GetAccepted() != nil)
	}
	state := inspection.State
	report.line("recovers: sequence %d, generation %d, %d items, evacuated zones %v",
		state.Sequence(), state.Generation(), state.Len(), state.EvacuatedZones())
	orders, since := state.ExecutedOrders()
	report.line("recovers: orders executed since generation %d: %d", since, orders)
}

// printView prints a recovered view. The argument synchronized is the number of the newest view up to which the
// recovered state is complete.
func printView(report printer, view *pb.View, synchronized uint64) {
	if view == nil {
		report.line("recovers: no view: the machine has neither bootstrapped nor joined a cluster")
		return
	}
	report.line("recovers: view %d of cluster %s, state of view %d", view.GetNumber(), view.GetCluster(), synchronized)
	report.line("recovers: voters %v, chain %v", hostsOf(view.GetVoters()), hostsOf(view.GetChain()))
}

// hostsOf returns the host names of replicas, in the given order.
func hostsOf(replicas []*pb.Replica) []string {
	hosts := make([]string, 0, len(replicas))
	for _, replica := range replicas {
		hosts = append(hosts, replica.GetHost())
	}
	return hosts
}
