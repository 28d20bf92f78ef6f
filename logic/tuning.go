package logic

import "fieldrelay/logic/selection"

// Tuning. Every value is dimensionless, but for ageing. What the paper sets is in selection.
const (
	ageing = selection.Delta // the paper's, for all that is aged here

	connsPriced  = 100.0 // the price of connections is for so many a server (the settings' unit)
	freshen      = 4.0   // samples of a server within δ that its estimate needs
	limitsHold   = 16    // sidecars; fewer keep to limits alone: with the bound on, an earlier day read low
	outTimes     = 1.8   // times the work asked for may be out: a standard core is faster than most
	outRoots     = 2.5   // and so many roots of it: chance brings as much beside the mean
	subsetLeast  = 2     // servers in use however little comes: one may fail and one be tried again
	lateRoom     = 0.7   // of the time left: a server expected to take longer is left
	lateRow      = 2     // and one that was too late so many times in a row
	lateAgain    = 0.05  // share of the own requests that tries such servers again
	coldShare    = 1.3   // of a cold server's present part of what the subset can do; its queue takes chance
	coldLeast    = 0.65  // part of its full work that a subset is taken to do: twice the present part at most
	coldBurst    = 1.5   // most sends a cold server can have saved up
	firstLimit   = 2.0   // attempts that may be out at an unknown server
	growBelow    = 0.1   // part of the way from a quick answer to the aim: quicker ones let a limit grow
	shrinkAbove  = 0.3   // and those past this part make it shrink
	grow         = 0.25  // least that a quick answer gives to a limit: growth keeps up at any size
	quickStep    = 0.1   // how fast the idea of a quick answer falls; it rises a tenth as fast
	lateStep     = 0.125 // weight of an answer in the share of slow ones
	cut          = 0.5   // of the share of slow answers is taken from a limit, once an answer time
	blameStep    = 0.15  // weight of an outcome in what is laid to its server
	sharedStep   = 0.4   // and to what servers share: it must be known before three failures in a row eject
	ownPrior     = 0.05  // what is laid to a server unseen, against
	sharedPrior  = 0.03  // this for each of the rest: servers fail most often
	dragging     = 0.3   // aged share of lateness laid to a class that lets in one request an ageing time
	meanStep     = 0.02  // weight of an answer in a class's mean: fifty smooth its spread
	heavyTimes   = 100.0 // work of the lightest class in use: at 20 times, busy days of like requests lost
	inUse        = 0.3   // aged number of requests of a class in use: one within about an ageing time
	crowded      = 0.5   // a limit grows only when this part of it is in use
	ejectFails   = 3     // failures in a row that eject, or more:
	ejectChance  = 1e-5  // as many as would come by chance this rarely
	ejectShare   = 0.3   // aged share of errors that ejects
	ejectFirst   = 1.0   // first ejection, in ageing times; doubles up to ejectMost
	ejectMost    = 4.0
	heldSpread   = 4.0  // a held request is given up this many deviations before the mean answer time
	windowSafety = 0.95 // of a repeat window: its end is not ours to gamble with
	warmPull     = 2.0  // weight of a key's home server, in fair shares of the rest
	crossScale   = 40.0 // how strongly the price of crossing zones scales a weight down
	easy         = 0.4  // part of the aim within which an answer counts for the slack: jams show early
	calm         = 1.5  // times the slack, squared: the part of the requests that is let in
	trickle      = 0.05 // part let in however bad it looks, so that a recovery is seen
	levelSteps   = 20   // halvings that find how much of each class gives way
	leastWorth   = 1e-3 // of a class whose worth is not told
	goneKept     = 20.0 // ageing times without an answer after which one called gone is forgotten
	listWrong    = 0.5  // part of all servers: when more are called gone, it is the list that is wrong
	askShare     = 0.25 // of the contract's interval: longest wait before the list is asked for again
)
