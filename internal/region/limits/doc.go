// Package limits enforces this proxy's share of two limits that apply to all proxies together: the number of retries
// to a service, and the rate of requests to a server that is warming up.
//
// The proxies do not coordinate. Each proxy computes its share from the set of proxies that it knows. The shares are
// small enough that their sum stays within the limit even while proxies know different sets. docs/design/regional.md
// describes the surrounding system. The package decides neither which requests are retried nor which server gets a
// request (see packages proxy and placement).
//
// All times are durations since the start of this process. The types are not safe for concurrent use.
package limits
