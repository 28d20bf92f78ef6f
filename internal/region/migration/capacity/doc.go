// Package capacity checks whether a set of nodes has enough capacity for the demand and, if not, reports which resource of
// which group is short for the clients of which region.
//
// Capacity is a vector of resources per region, service and model: concurrent requests, tokens held in memory, prefill
// and decode tokens a second, requests a second, and connections. Demand comes from the clients of a region and may be
// served in any region, or only in its home regions. Loads are allocated to regions in the order that placement uses: the
// clients' own region first, then others; the load with the fewest eligible bins comes first. A load that fits has been
// allocated completely, for all resources at once, so that a positive result is reliable. The allocation is greedy: it may
// report a shortage although another allocation would fit.
//
// Headroom is the capacity that must stay free: a margin for bursts, and a fault budget. Every failure within the fault
// budget must leave enough capacity for the demand without the margin.
//
// The package does no I/O, reads no clock and never modifies the nodes and loads that it is given. It does not measure
// demand and does not place requests. The design is in docs/design/migration.md.
package capacity
