package agent

import (
	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/packing"
)

// decompressWatch expands the compressed update in a response, if there is one. The response keeps the compressed form,
// which is forwarded to other agents. The error is a *packing.MalformedError.
func decompressWatch(response *pb.WatchResponse) (err error) {
	response.Changes, response.Repair, err = decompress(response.GetCompressed(), response.GetChanges(), response.GetRepair())
	return err
}

// decompressCompare is like decompressWatch, for the response of another agent to a Compare call.
func decompressCompare(response *pb.CompareResponse) (err error) {
	response.Changes, response.Repair, err = decompress(response.GetCompressed(), response.GetChanges(), response.GetRepair())
	return err
}

// decompress returns the changes and the repair of a response. Uncompressed changes follow those in the compressed
// update. Without a compressed update, or if it is malformed, changes and repair are returned unmodified.
func decompress(compressed *pb.CompressedUpdate, changes []*pb.Change, repair *pb.Repair) ([]*pb.Change, *pb.Repair, error) {
	if compressed == nil {
		return changes, repair, nil
	}
	update, err := packing.Decompress(compressed)
	if err != nil {
		return changes, repair, err
	}
	return append(update.GetChanges(), changes...), update.GetRepair(), nil
}
