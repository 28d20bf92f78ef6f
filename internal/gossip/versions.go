package gossip

import (
	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/serverlist"
)

// CompareVersions orders server lists, see serverlist.CompareVersions.
func CompareVersions(first, second *pb.ListVersion) int {
	return serverlist.CompareVersions(first, second)
}
