// Package catalog holds the replicated control state of the regional system as an immutable value.
//
// A Snapshot is a set of items, each with a kind, a name that is unique in its kind, a position (order), the
// sequence number of the change that wrote it and a JSON body. Changes, numbered without gaps, turn one
// snapshot into the next. The items lie in RangeCount ranges by hash of kind and name; a range that a change
// does not touch is shared between the two snapshots. A copy that missed changes compares digests of ranges
// and gets the ranges that differ (a repair).
//
// The operator's configuration is kept as items: each list of objects that have a name is a collection, whose
// members are items of the kind of that list; every other member is an item of KindSetting with the member's
// name. A collection also has an item of KindSetting, with the body "[]", which keeps the collection's place
// among the members while it is empty.
//
// Beside the items, replicas keep a record of the orders that were taken, which agents and proxies do not carry.
//
// Items, changes and repairs that were handed to or come from this package are shared between snapshots and
// must not be written to. Everything but History is safe for concurrent use.
package catalog

// RangeCount is the number of ranges that items are spread over. It is part of the protocol between copies.
const RangeCount = 32

// Kinds that have a meaning in this package. Any other kind is a list of the operator's that is unknown today.
const (
	// KindRoutes are the operator's routes.
	KindRoutes = "routes"
	// KindBackends are the operator's services.
	KindBackends = "backends"
	// KindSetting are the members of a configuration that are not collections, such as "req-limits".
	KindSetting = "setting"
	// KindEvacuation are the zones to which nothing more may be sent; the name is the zone.
	KindEvacuation = "evacuation"
)

// isOperatorKind reports whether a kind's items come from the configuration and go when a configuration does
// not name them.
func isOperatorKind(kind string) bool {
	return kind != KindEvacuation && kind != legacyOrderKind
}

// isCollection reports whether a list of this name may be kept as items of their own. The names of this
// package's kinds may not: such a list is kept whole, as a setting.
func isCollection(kind string) bool {
	return kind != KindSetting && isOperatorKind(kind)
}
