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
	news, err := unpack(response.GetPacked(), response.GetChanges())
	if err == nil {
		response.Changes, response.Repair = news.GetChanges(), news.GetRepair()
	}
	return err
}

// unpackCompare is unpackWatch for the answer of another agent.
func unpackCompare(response *pb.CompareResponse) error {
	if response.GetPacked() == nil {
		return nil
	}
	news, err := unpack(response.GetPacked(), response.GetChanges())
	if err == nil {
		response.Changes, response.Repair = news.GetChanges(), news.GetRepair()
	}
	return err
}

// unpack gives packed news together with the changes that follow it.
func unpack(packed *pb.PackedNews, following []*pb.Change) (*pb.StateNews, error) {
	news, err := packing.Unpack(packed)
	if err != nil {
		return nil, err
	}
	news.Changes = append(news.GetChanges(), following...)
	return news, nil
}
