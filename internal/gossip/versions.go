package gossip

import (
	pb "fieldrelay/api/fieldrelay/v1"
	"fieldrelay/internal/serverlist"
)

// CompareVersions is serverlist.CompareVersions, for callers that have not moved to it.
func CompareVersions(first, second *pb.ListVersion) int {
	return serverlist.CompareVersions(first, second)
}
