package proxy

// defaultPriority is the priority that servers assume for requests without a Priority header.
const defaultPriority = 5

// serverPriority returns the value of the Priority header of a request to a server; 0 is the most urgent. A server starts
// the most urgent of its waiting requests first, and preempts the least urgent ones. The operator tells by a route's rank
// which requests go first, so the value is the rank alone: neither a short prompt nor little time overtakes a higher rank.
func serverPriority(rank int) int { return min(max(rank, 0), lowestPriority) }
