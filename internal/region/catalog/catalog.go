// Package catalog holds the replicated control state of the regional system as an immutable value, and translates the
// orders of operators into changes of that state.
//
// A Snapshot is a set of items, each with a kind, a name that is unique in its kind, an order among the items of its
// kind, the sequence number of the change that wrote the item, and a JSON body. Changes, numbered without gaps, turn
// one snapshot into the next. The items are partitioned into RangeCount ranges by hash of kind and name; a range that a
// change does not touch is shared between the two snapshots. A replica that has missed changes is repaired: it sends
// the digests of its ranges and receives the ranges that differ (anti-entropy, Demers et al., "Epidemic Algorithms for
// Replicated Database Maintenance", 1987).
//
// The operator's configuration is stored as items. Each list of named objects is a collection: its elements are items
// whose kind is the name of the list. Every other member is an item of KindSetting with the member's name. A collection
// also has an item of KindSetting, with the body "[]", which keeps the collection's position among the members even
// while the collection is empty.
//
// In addition to the items, the replicas on control machines hold a record of the executed orders. The replicas of
// agents and proxies do not. As on the wire, "order" has two meanings: a request of an operator, and the field of an
// item that is its sort key among the items of its kind.
//
// The package neither replicates state (see package chain) nor stores it (see package ring).
// docs/design/regional.md describes the design. Items, changes and repairs that are passed to or returned by this
// package are shared between snapshots and must not be modified. Everything except History is safe for concurrent use.
package catalog

// RangeCount is the number of ranges into which the items are partitioned. It is part of the protocol between replicas.
const RangeCount = 32

// Kinds that have a meaning in this package. Any other kind is a collection of the operator that this version does not
// interpret.
const (
	// KindRoutes is the kind of the operator's routes.
	KindRoutes = "routes"
	// KindBackends is the kind of the operator's services.
	KindBackends = "backends"
	// KindSetting is the kind of the members of a configuration that are not collections, such as "req-limits".
	KindSetting = "setting"
	// KindEvacuation is the kind of the evacuated zones, to which no requests may be sent. The name is the zone.
	KindEvacuation = "evacuation"
)

// isOperatorKind reports whether a kind's items come from the operator's configuration. Such items are removed by a new
// configuration that does not contain them.
func isOperatorKind(kind string) bool {
	return kind != KindEvacuation && kind != legacyOrderKind
}

// isCollection reports whether a list of this name may be a collection. A list with the name of one of this package's
// internal kinds is a setting instead.
func isCollection(kind string) bool {
	return kind != KindSetting && isOperatorKind(kind)
}
