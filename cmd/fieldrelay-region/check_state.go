package main

import (
	"fmt"
	"io"

	"fieldrelay/internal/control"
	"fieldrelay/internal/ring"

	pb "fieldrelay/api/fieldrelay/v1"
)

// checkState prints what a control machine's state folder holds and what a start would recover. It returns a
// *FaultyFileError if a control machine could not start on it.
func checkState(output io.Writer, folder string) error {
	inspection, err := control.Inspect(folder)
	if err != nil {
		return err
	}
	for _, file := range inspection.Ring.Files {
		printRingFile(output, file)
	}
	printRecoveredState(output, inspection)
	if inspection.Failure != nil {
		fmt.Fprintf(output, "%s: a control machine cannot start: %v\n", folder, inspection.Failure)
		return &FaultyFileError{Path: folder, Faults: 1}
	}
	fmt.Fprintf(output, "%s: no faults\n", folder)
	return nil
}

// printRingFile prints a file of the ring with every record of it.
func printRingFile(output io.Writer, file ring.FileReport) {
	switch {
	case !file.HeaderValid:
		fmt.Fprintf(output, "%s: %d bytes, not begun, or its beginning is torn\n", file.Name, file.Bytes)
		return
	case !file.SnapshotValid:
		fmt.Fprintf(output, "%s: %d bytes, epoch %d, no whole snapshot: not used\n", file.Name, file.Bytes, file.Epoch)
		return
	}
	use := "older"
	if file.Current {
		use = "current"
	}
	fmt.Fprintf(output, "%s: %d bytes, epoch %d, %s: snapshot of %d bytes, %d records, %d bytes used, then %s\n",
		file.Name, file.Bytes, file.Epoch, use, file.SnapshotBytes, len(file.Records), file.End, file.Ending)
	for _, record := range file.Records {
		fmt.Fprintf(output, "  %d %s, %d bytes\n", record.Sequence, control.RecordName(record.Kind), record.Bytes)
	}
}

// printRecoveredState prints what a start would go on with.
func printRecoveredState(output io.Writer, inspection *control.Inspection) {
	if inspection.Ring.Recovered == nil {
		return
	}
	if inspection.Ring.Recovered.Fresh {
		fmt.Fprintln(output, "recovers: nothing, the disk is fresh")
		return
	}
	fmt.Fprintf(output, "recovers: identity %s, of the founding: %t\n", inspection.Identity, inspection.Bootstrap)
	printView(output, inspection.View, inspection.Basis)
	if promise := inspection.Promise; promise != nil {
		fmt.Fprintf(output, "recovers: promise for view %d to %s, round %d, accepted a value: %t\n",
			promise.GetViewNumber(), promise.GetPromised().GetProposer(), promise.GetPromised().GetRound(),
			promise.GetAccepted() != nil)
	}
	state := inspection.State
	fmt.Fprintf(output, "recovers: sequence %d, generation %d, %d items, evacuated zones %v\n",
		state.Sequence(), state.Generation(), state.Len(), state.EvacuatedZones())
	orders, since := state.TakenOrders()
	fmt.Fprintf(output, "recovers: the orders taken since generation %d are known again, %d of them\n", since, orders)
}

func printView(output io.Writer, view *pb.View, basis uint64) {
	if view == nil {
		fmt.Fprintln(output, "recovers: no view: it has neither founded nor joined a system")
		return
	}
	fmt.Fprintf(output, "recovers: view %d of cluster %s, state of view %d\n", view.GetNumber(), view.GetCluster(), basis)
	fmt.Fprintf(output, "recovers: voters %v, chain %v\n", hostsOf(view.GetVoters()), hostsOf(view.GetChain()))
}

func hostsOf(replicas []*pb.Replica) []string {
	hosts := make([]string, 0, len(replicas))
	for _, replica := range replicas {
		hosts = append(hosts, replica.GetHost())
	}
	return hosts
}
