package limits

import pb "fieldrelay/api/fieldrelay/v1"

// IsOutdated reports whether received shares were superseded by the applied ones. Only shares of one incarnation of an
// agent are ordered: the wall clock may jump between two incarnations, so those of another one are never outdated.
func IsOutdated(received, applied *pb.QuotaMembersVersion) bool {
	if received == nil || applied == nil || received.GetAgent() != applied.GetAgent() {
		return false
	}
	return received.GetRevision() < applied.GetRevision()
}
