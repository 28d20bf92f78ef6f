package logic

import "fieldrelay/internal/common/selection"

// The constants of the decisions. All but agingTime are dimensionless. Package selection has the constants of
// the published algorithm that it implements. "Aged" means weighted by an exponential decay with time
// constant agingTime.

// agingTime is the time constant of all aged values of this package. It equals that of package selection.
const agingTime = selection.TimeConstant

// Size of the subset of servers in use, and the bound on attempts in flight.
const (
	freshSamples  = 4.0 // samples of a server within agingTime that keep its estimate current
	minSubsetSize = 2   // one server may fail while the other is being probed
	// boundMinBalancers is the number of sidecars from which maxInFlight applies. Smaller fleets have
	// per-server limits alone.
	boundMinBalancers  = 16
	inFlightFactor     = 1.8 // attempts in flight per occupied server: a standard core is faster than most
	inFlightRootFactor = 2.5 // attempts in flight per square root of occupied servers: random variation
)

// Choice of a server.
const (
	usableTimeLeft       = 0.7  // a server expected to need more than this fraction of time left is dropped
	lateDropThreshold    = 2    // consecutive late outcomes after which a server is dropped
	lateProbeProbability = 0.05 // probability that a request probes a server dropped as late
	affinityWeight       = 2.0  // weight of a key's affinity server, relative to all candidates together
	crossZoneScale       = 40.0 // exponential decay of a weight per unit of the price of crossing zones
)

// Slow start.
const (
	// A request gives each server in slow start slowStartFactor times its fraction of the subset's capacity
	// as credit. The factor may be above 1 because queues absorb bursts.
	slowStartFactor    = 1.3
	slowStartMinSubset = 0.65 // least fraction of its full capacity that a subset is assumed to have
	slowStartMaxCredit = 1.5  // sends that a server can accumulate as credit
)

// Limits of attempts in flight at a server. The target range is the range from a class's quick latency to its
// latency target.
const (
	initialLimit        = 2.0   // attempts in flight at a server without samples
	growBelow           = 0.1   // an answer within this fraction of the target range raises a limit
	shrinkAbove         = 0.3   // an answer past this fraction of the target range lowers a limit
	minLimitGrowth      = 0.25  // least increase per quick answer, so that large limits adapt as fast
	limitDecreaseFactor = 0.5   // multiple of the slow fraction by which a limit is cut, once per answer time
	slowStep            = 0.125 // EWMA weight of an answer in the fraction of slow answers
	limitUsedFraction   = 0.5   // fraction of a limit that must be in use before the limit grows
)

// Latency and work of a class.
const (
	meanStep  = 0.02 // EWMA weight of an answer in a mean: about fifty answers smooth the variation
	quickStep = 0.1  // EWMA weight of a quicker answer in the quick latency; of a slower one a tenth
	// A request with more than heavyFactor times the mean work of a class in recent use is heavy. 20 did
	// worse with busy, uniform loads.
	heavyFactor       = 100.0
	minRecentRequests = 0.3 // least aged requests of a class in recent use: one within about agingTime
)

// Attribution of faults: the fault rate of each suspect.
const (
	serverFaultStep    = 0.15 // EWMA weight of an outcome in the fault rate of its server
	sharedFaultStep    = 0.4  // EWMA weight for other suspects: found before a failure run ejects servers
	serverFaultPrior   = 0.05 // prior fault rate of a server, the most frequent cause
	sharedFaultPrior   = 0.03 // prior fault rate of each other suspect
	lateClassThreshold = 0.3  // fault rate above which a class or tenant is taken to be at fault
)

// Ejection.
const (
	minEjectFailures = 3    // least number of consecutive failures that ejects a server
	ejectChance      = 1e-5 // a run of failures that is at most this likely by chance ejects a server
	ejectFailureRate = 0.3  // rate of failures attributed to a server above which it is ejected
	minEjectBackoff  = 1.0  // length of the first ejection, in aging times; doubles with each further one
	maxEjectBackoff  = 4.0  // length of the longest ejection, in aging times
)

// Admission and queueing.
const (
	earlyFraction       = 0.4  // fraction of the target within which an answer is early: overload shows soon
	admitSlackFactor    = 1.5  // admitted fraction of the work: the square of this multiple of the slack
	minAdmitProbability = 0.05 // least probability, whatever the slack, so that a recovery is noticed
	bisectionSteps      = 20   // bisection steps in the search for the shedding level
	minValue            = 1e-3 // value of a class whose value is not set
	queueDeviations     = 4.0  // a queued request needs the mean latency and this many deviations left
	windowSafety        = 0.95 // used fraction of a deduplication window, whose exact end is unknown
)

// The server list.
const (
	goneRetention        = 20.0 // aging times without a response until a server listed as gone is forgotten
	listDistrustFraction = 0.5  // fraction of servers listed as gone above which the list is distrusted
	listWaitFraction     = 0.25 // longest wait for a list request, as a fraction of Contract.ListInterval
)

// pricedConnections is the number of connections per server to which Prices.Connection refers.
const pricedConnections = 100.0
