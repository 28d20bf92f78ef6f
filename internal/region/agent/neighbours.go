package agent

import (
	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/region/shuffle"
)

// neighbourMessage converts a neighbour to its protobuf message.
func neighbourMessage(neighbour shuffle.Neighbour) *pb.Neighbour {
	return &pb.Neighbour{
		Host:    neighbour.Host,
		Address: neighbour.Address,
		Zone:    neighbour.Zone,
		Region:  neighbour.Region,
		Age:     neighbour.Age,
	}
}

// neighbourFromMessage is the inverse of neighbourMessage.
func neighbourFromMessage(message *pb.Neighbour) shuffle.Neighbour {
	return shuffle.Neighbour{
		Host:    message.GetHost(),
		Address: message.GetAddress(),
		Zone:    message.GetZone(),
		Region:  message.GetRegion(),
		Age:     message.GetAge(),
	}
}

func neighbourMessages(neighbours []shuffle.Neighbour) []*pb.Neighbour {
	messages := make([]*pb.Neighbour, len(neighbours))
	for i, neighbour := range neighbours {
		messages[i] = neighbourMessage(neighbour)
	}
	return messages
}

func neighboursFromMessages(messages []*pb.Neighbour) []shuffle.Neighbour {
	neighbours := make([]shuffle.Neighbour, len(messages))
	for i, message := range messages {
		neighbours[i] = neighbourFromMessage(message)
	}
	return neighbours
}
