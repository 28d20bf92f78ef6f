package logic

import "fieldrelay/internal/common/selection"

// The constants of the decisions. All but agingTime are dimensionless. Package selection has the constants of
// the paper that it implements. "Aged" means weighted by an exponential decay with time constant agingTime.

// agingTime is the time constant of all aged values of this package, the one that the paper uses.
const agingTime = selection.TimeConstant

// Size of the subset of servers in use, and the bound on attempts in flight.
const (
	freshSamples       = 4.0 // samples of a server within agingTime that keep its estimate current
	minSubsetSize      = 2   // one server may fail while the other is being probed
	boundMinBalancers  = 16  // sidecars; smaller fleets do better with per-server limits alone
	inFlightFactor     = 1.8 // attempts in flight per occupied server: a standard core is faster than most
	inFlightRootFactor = 2.5 // attempts in flight per square root of occupied servers: random variation
)

// Choice of a server.
const (
	usableTimeLeft       = 0.7  // a server expected to need more than this part of the time left is dropped
	lateDropThreshold    = 2    // consecutive late outcomes after which a server is dropped
	lateProbeProbability = 0.05 // share of this sidecar's requests that probes servers dropped as late
	affinityWeight       = 2.0  // weight of a key's affinity server, relative to all candidates together
	crossZoneScale       = 40.0 // exponential decay of a weight per unit of the price of crossing zones
)

// Slow start.
const (
	slowStartFactor    = 1.3  // of a server's part of the capacity, per request: queues absorb bursts
	slowStartMinSubset = 0.65 // least share of its full capacity that a subset is assumed to have
	slowStartMaxCredit = 1.5  // sends that a server can accumulate as credit
)

// Limits of attempts in flight at a server. The way from quick to target is the range from a class's quick
// latency to its latency target.
const (
	initialLimit        = 2.0   // attempts in flight at a server without samples
	growBelow           = 0.1   // an answer within this part of the way from quick to target raises a limit
	shrinkAbove         = 0.3   // an answer past this part of the way from quick to target lowers a limit
	minLimitGrowth      = 0.25  // least increase per quick answer, so that large limits adapt as fast
	limitDecreaseFactor = 0.5   // multiple of the share of slow answers cut from a limit, once per answer time
	slowStep            = 0.125 // EWMA weight of an answer in the share of slow answers
	limitUsedFraction   = 0.5   // share of a limit that must be in use before the limit grows
)

// Latency and work of a class.
const (
	meanStep          = 0.02  // EWMA weight of an answer in a mean: about fifty answers smooth the variation
	quickStep         = 0.1   // EWMA weight of a quicker answer in the quick latency; a tenth of it if slower
	heavyFactor       = 100.0 // times the work of a recent class; 20 did worse with busy, uniform loads
	minRecentRequests = 0.3   // aged requests of a class in recent use: one within about agingTime
)

// Attribution of faults: the aged fault share of each suspect.
const (
	serverFaultStep    = 0.15 // EWMA weight of an outcome in the fault share of its server
	sharedFaultStep    = 0.4  // EWMA weight for other suspects, to be known before a failure run ejects
	serverFaultPrior   = 0.05 // prior fault share of a server, the most frequent cause
	sharedFaultPrior   = 0.03 // prior fault share of each other suspect
	lateClassThreshold = 0.3  // share above which a class itself is taken to be at fault
)

// Ejection.
const (
	minEjectFailures = 3    // least number of consecutive failures that ejects a server
	ejectChance      = 1e-5 // a run of failures that is at most this likely by chance ejects a server
	ejectFailureRate = 0.3  // share of failures attributed to a server that ejects it
	minEjectBackoff  = 1.0  // first ejection, in aging times; it doubles up to maxEjectBackoff
	maxEjectBackoff  = 4.0
)

// Admission and queueing.
const (
	earlyFraction       = 0.4  // part of the target within which an answer is early: overload shows soon
	admitSlackFactor    = 1.5  // the square of this multiple of the slack is the admitted share of the work
	minAdmitProbability = 0.05 // however low the slack, so that a recovery is noticed
	bisectionSteps      = 20   // bisection steps in the search for the shedding level
	minValue            = 1e-3 // value of a class whose value is not set
	queueDeviations     = 4.0  // mean answer time and this many deviations must be left for a queued request
	windowSafety        = 0.95 // used part of a repeat window, whose exact end a sidecar does not know
)

// The server list.
const (
	goneRetention        = 20.0 // aging times without a response after which a gone server is forgotten
	listDistrustFraction = 0.5  // with more than this part of the servers gone, the list is taken to be wrong
	listWaitFraction     = 0.25 // longest wait before the list is requested again, as a share of its interval
)

// pricedConnections is the number of connections per server to which Prices.Connection refers.
const pricedConnections = 100.0
