package limits

import pb "fieldrelay/api/fieldrelay/v1"

// IsOutdated reports whether the received quota members are older than the applied quota members. Only versions from
// the same agent process are ordered. Versions from different processes are never outdated, because the wall clock may
// jump between two processes.
func IsOutdated(received, applied *pb.QuotaMembersVersion) bool {
	if received == nil || applied == nil || received.GetAgent() != applied.GetAgent() {
		return false
	}
	return received.GetRevision() < applied.GetRevision()
}
