package gossip

import (
	"cmp"
	"strings"

	pb "fieldrelay/api/fieldrelay/v1"
)

// CompareVersions orders server lists by epoch, then holder, then revision. An absent version is the oldest.
func CompareVersions(a, b *pb.ListVersion) int {
	if order := cmp.Compare(a.GetEpoch(), b.GetEpoch()); order != 0 {
		return order
	}
	if order := strings.Compare(a.GetHolder(), b.GetHolder()); order != 0 {
		return order
	}
	return cmp.Compare(a.GetRevision(), b.GetRevision())
}
