// Package room tells whether the nodes that remain have enough room for what is asked of them, and if not,
// what is lacking where.
//
// Room is counted per region, service and model as a vector of resources: requests at once, tokens held in
// memory, prompt tokens read and tokens written a second, requests a second, and connections. Demand comes from
// a region and may be served in any region, or only in its homes. It is laid over the regions as placement does
// it: the own region first, then others, the least free demand before the rest. What is found to fit has been
// laid out in full, for every resource at once; so a "yes" can be trusted, while a "no" may come although a
// cleverer split would do.
//
// A Bound adds what must stay free: a margin for bursts, and the fault budget, each loss of which must still
// leave room for the demand itself.
package room
