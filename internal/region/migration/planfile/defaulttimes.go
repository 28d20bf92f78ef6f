package planfile

import (
	"time"

	"fieldrelay/internal/region/catalog"
	"fieldrelay/internal/region/migration/capacity"
	"fieldrelay/internal/region/migration/plan"
)

// Durations that are used if neither the file nor the configuration has them.
const (
	defaultStart  = 30 * time.Second // time until a new node answers
	defaultLinger = time.Second      // time for which a request may be in flight from a proxy to a server
	// addressTTLs is the number of times to live for which some clients keep using the address of an edge machine.
	addressTTLs = 3
)

// times returns the expected durations of a replacement: those of the file or, where it has none, the defaults.
func (b *inputBuilder) times(old *capacity.Node, entry *Replacement) plan.Times {
	defaults := b.defaultTimes(old)
	return plan.Times{
		Start:  durationOr(entry.Start, defaults.Start),
		Warm:   durationOr(entry.Warm, defaults.Warm),
		Drain:  durationOr(entry.Drain, defaults.Drain),
		Linger: defaults.Linger,
		Stop:   durationOr(entry.Stop, defaults.Stop),
	}
}

// defaultTimes returns the durations that follow from the configuration and the bounds in force. Clients keep using the
// address of an edge machine for a few times its time to live. The machine lingers for that time, so that no response is
// cut off when it stops.
func (b *inputBuilder) defaultTimes(old *capacity.Node) plan.Times {
	bounds := &b.inventory.Settings.Bounds
	times := plan.Times{Start: defaultStart, Stop: bounds.Grace()}
	switch old.Kind {
	case capacity.Server:
		if service, found := b.table.Service(old.Service); found {
			times.Warm = service.Warmup
		}
		times.Drain = b.longestResponse(old.Service)
		times.Linger = defaultLinger
		times.Stop = bounds.DrainWithin() + b.inventory.Settings.CloudAPI.MaxLag()
	case capacity.Edge:
		times.Drain = b.longestResponse("")
		times.Linger = addressTTLs*bounds.TTLMax() + defaultLinger
	case capacity.Core:
		times.Warm = bounds.SyncFor()
	}
	return times
}

// longestResponse returns the longest deadline of the routes that lead to a service, or of all routes if the name is
// empty. No response takes longer than that.
func (b *inputBuilder) longestResponse(service string) time.Duration {
	longest := time.Duration(0)
	for _, item := range b.inventory.Snapshot.Items(catalog.KindRoutes) {
		found, ok := b.table.Route(item.GetName())
		if ok && (service == "" || found.LeadsTo(service)) {
			longest = max(longest, found.Deadline)
		}
	}
	return longest
}
