// Package configitem parses the bodies of the items of the operator's configuration: routes, services and request
// limits. It is the only parser of these bodies. Validation (package catalog) and the proxies' routing table (package
// route) both use its results, so that a route is served as it was validated. The callers decide what follows from a
// fault.
//
// Member names are compared exactly. If a member occurs more than once, the last occurrence counts. A null value
// counts as a missing member. For the members of a route that validation checks (host, path prefix, deadline,
// services and weights), the package returns the faults that make the route invalid. All other members of routes, and
// those of services and limits, are not validated: a member that cannot be used counts as missing, and is reported as
// a FieldError.
package configitem
