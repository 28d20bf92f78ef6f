package agent

import (
	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/packing"
)

// decompressWatch puts the news that an answer carries packed in its place. The packed form stays, to be passed on. The
// error is a *packing.MalformedError.
func decompressWatch(response *pb.WatchResponse) error {
	if response.GetPacked() == nil {
		return nil
	}
	news, err := decompress(response.GetPacked(), response.GetChanges())
	if err == nil {
		response.Changes, response.Repair = news.GetChanges(), news.GetRepair()
	}
	return err
}

// decompressCompare is decompressWatch for the answer of another agent.
func decompressCompare(response *pb.CompareResponse) error {
	if response.GetPacked() == nil {
		return nil
	}
	news, err := decompress(response.GetPacked(), response.GetChanges())
	if err == nil {
		response.Changes, response.Repair = news.GetChanges(), news.GetRepair()
	}
	return err
}

// unpack gives packed news together with the changes that follow it.
func decompress(packed *pb.PackedNews, following []*pb.Change) (*pb.StateNews, error) {
	news, err := packing.Unpack(packed)
	if err != nil {
		return nil, err
	}
	news.Changes = append(news.GetChanges(), following...)
	return news, nil
}
