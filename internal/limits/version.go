package limits

import pb "fieldrelay/api/fieldrelay/v1"

// IsOutdated tells whether shares that are told now were followed by those held already. Only those of one agent process
// have an order: the time of day may jump between two of them.
func IsOutdated(told, held *pb.SharesVersion) bool {
	if told == nil || held == nil || told.GetAgent() != held.GetAgent() {
		return false
	}
	return told.GetRevision() < held.GetRevision()
}
