package logic

import "fieldrelay/logic/selection"

// Tuning. Every value is dimensionless, but for ageing. What the paper sets is in selection.
const (
	agingTime = selection.Delta // the paper's, for all that is aged here

	pricedConnections   = 100.0 // the price of connections is for so many a server (the settings' unit)
	freshSamples        = 4.0   // samples of a server within δ that its estimate needs
	boundMinBalancers   = 16    // sidecars; fewer keep to limits alone: with the bound on, an earlier day read low
	inFlightFactor      = 1.8   // times the work asked for may be out: a standard core is faster than most
	inFlightRootFactor  = 2.5   // and so many roots of it: chance brings as much beside the mean
	minSubsetSize       = 2     // servers in use however little comes: one may fail and one be tried again
	usableTimeLeft      = 0.7   // of the time left: a server expected to take longer is left
	lateRunLimit        = 2     // and one that was too late so many times in a row
	lateProbeShare      = 0.05  // share of the own requests that tries such servers again
	slowStartShare      = 1.3   // of a cold server's present part of what the subset can do; its queue takes chance
	slowStartMinSubset  = 0.65  // part of its full work that a subset is taken to do: twice the present part at most
	slowStartMaxCredit  = 1.5   // most sends a cold server can have saved up
	initialLimit        = 2.0   // attempts that may be out at an unknown server
	growBelow           = 0.1   // part of the way from a quick answer to the aim: quicker ones let a limit grow
	shrinkAbove         = 0.3   // and those past this part make it shrink
	minLimitGrowth      = 0.25  // least that a quick answer gives to a limit: growth keeps up at any size
	quickStep           = 0.1   // how fast the idea of a quick answer falls; it rises a tenth as fast
	slowStep            = 0.125 // weight of an answer in the share of slow ones
	limitCut            = 0.5   // of the share of slow answers is taken from a limit, once an answer time
	serverFaultStep     = 0.15  // weight of an outcome in what is laid to its server
	sharedFaultStep     = 0.4   // and to what servers share: it must be known before three failures in a row eject
	serverFaultPrior    = 0.05  // what is laid to a server unseen, against
	sharedFaultPrior    = 0.03  // this for each of the rest: servers fail most often
	lateClassThreshold  = 0.3   // aged share of lateness laid to a class that lets in one request an ageing time
	meanStep            = 0.02  // weight of an answer in a class's mean: fifty smooth its spread
	heavyFactor         = 100.0 // work of the lightest class in use: at 20 times, busy days of like requests lost
	minRecentRequests   = 0.3   // aged number of requests of a class in use: one within about an ageing time
	crowdedFraction     = 0.5   // a limit grows only when this part of it is in use
	minEjectFailures    = 3     // failures in a row that eject, or more:
	ejectChance         = 1e-5  // as many as would come by chance this rarely
	ejectFailureShare   = 0.3   // aged share of errors that ejects
	minEjectBackoff     = 1.0   // first ejection, in ageing times; doubles up to maxEjectBackoff
	maxEjectBackoff     = 4.0
	queueDeviations     = 4.0  // a held request is given up this many deviations before the mean answer time
	windowSafety        = 0.95 // of a repeat window: its end is not ours to gamble with
	affinityWeight      = 2.0  // weight of a key's home server, in fair shares of the rest
	crossZoneScale      = 40.0 // how strongly the price of crossing zones scales a weight down
	earlyFraction       = 0.4  // part of the aim within which an answer counts for the slack: jams show early
	admitSlackFactor    = 1.5  // times the slack, squared: the part of the requests that is let in
	minAdmitProbability = 0.05 // part let in however bad it looks, so that a recovery is seen
	levelSteps          = 20   // halvings that find how much of each class gives way
	minValue            = 1e-3 // of a class whose worth is not told
	goneRetention       = 20.0 // ageing times without an answer after which one called gone is forgotten
	listDistrustShare   = 0.5  // part of all servers: when more are called gone, it is the list that is wrong
	listWaitShare       = 0.25 // of the contract's interval: longest wait before the list is asked for again
)
