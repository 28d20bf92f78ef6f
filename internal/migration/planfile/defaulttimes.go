package planfile

import (
	"time"

	"fieldrelay/internal/catalog"
	"fieldrelay/internal/migration/plan"
	"fieldrelay/internal/migration/room"
)

// times gives the expected durations of a replacement: those of the file, else those that follow from the
// configuration and the bounds in force.
func (a *inputBuilder) times(old *room.Node, one *Replacement) plan.Times {
	usual := a.defaultTimes(old)
	return plan.Times{
		Start:  durationOr(one.Start, usual.Start),
		Warm:   durationOr(one.Warm, usual.Warm),
		Drain:  durationOr(one.Drain, usual.Drain),
		Linger: usual.Linger,
		Stop:   durationOr(one.Stop, usual.Stop),
	}
}

func (a *inputBuilder) defaultTimes(old *room.Node) plan.Times {
	bounds := &a.inventory.Settings.Bounds
	times := plan.Times{Start: defaultStart, Stop: bounds.Grace()}
	switch old.Kind {
	case room.Server:
		if service, found := a.table.Service(old.Service); found {
			times.Warm = service.Warmup
		}
		times.Drain = a.longestResponse(old.Service)
		times.Linger = defaultLinger
		times.Stop = bounds.DrainWithin() + a.inventory.Settings.CloudAPI.MaxLag()
	case room.Edge:
		times.Drain = a.longestResponse("")
		times.Linger = addressTTLs*bounds.TTLMax() + defaultLinger
	case room.Core:
		times.Warm = bounds.SyncFor()
	}
	return times
}

// longestResponse is the longest that a request to a service may be held; to any, if the name is empty.
func (a *inputBuilder) longestResponse(service string) time.Duration {
	longest := time.Duration(0)
	for _, item := range a.inventory.Snapshot.Items(catalog.KindRoutes) {
		found, ok := a.table.Route(item.GetName())
		if ok && (service == "" || found.LeadsTo(service)) {
			longest = max(longest, found.Deadline)
		}
	}
	return longest
}

// durationOr reads a duration of a checked file; empty stands for the usual one.
func durationOr(value string, usual time.Duration) time.Duration {
	if value == "" {
		return usual
	}
	parsed, err := time.ParseDuration(value)
	if err != nil {
		return usual
	}
	return parsed
}
