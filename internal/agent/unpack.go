package agent

import (
	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/packing"
)

// unpackWatch puts the news that an answer carries packed in its place. The packed form stays, to be passed on. The
// error is a *packing.MalformedError.
func unpackWatch(response *pb.WatchResponse) error {
	if response.GetPacked() == nil {
		return nil
	}
	news, err := packing.Unpack(response.GetPacked())
	if err != nil {
		return err
	}
	response.Changes = append(news.GetChanges(), response.GetChanges()...)
	response.Repair = news.GetRepair()
	return nil
}

// unpackCompare is unpackWatch for the answer of another agent.
func unpackCompare(response *pb.CompareResponse) error {
	if response.GetPacked() == nil {
		return nil
	}
	news, err := packing.Unpack(response.GetPacked())
	if err != nil {
		return err
	}
	response.Changes = append(news.GetChanges(), response.GetChanges()...)
	response.Repair = news.GetRepair()
	return nil
}
