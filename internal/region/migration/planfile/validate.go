package planfile

import (
	"fmt"
	"slices"
	"time"

	validation "github.com/go-ozzo/ozzo-validation/v4"

	"fieldrelay/internal/region/migration/capacity"
	"fieldrelay/internal/region/tomlfile"
)

// maxFailures is the largest number in the fault budget of a file. It is limited because all combinations of that many
// failures are checked.
const maxFailures = 3

// validator collects the faults of a file. Their line numbers are added later.
type validator struct{ faults []*tomlfile.FaultError }

func (v *validator) check(key string, value any, rules []validation.Rule) {
	if err := validation.Validate(value, rules...); err != nil {
		v.add(key, err.Error())
	}
}

func (v *validator) add(key, reason string) {
	v.faults = append(v.faults, &tomlfile.FaultError{Key: key, Reason: reason})
}

// validate returns the faults of a file, without their line numbers.
func (f *File) validate() []*tomlfile.FaultError {
	v := &validator{}
	v.check("name", f.Name, required)
	v.check("begin", f.Begin, timeOfDay)
	v.check("window", f.Window, optionalDuration)
	v.check("share", f.BatchFraction, fraction)
	v.check("room.margin", f.Headroom.Margin, nonNegative)
	v.check("room.hosts-lost", f.Headroom.Hosts, failures)
	v.check("room.zones-lost", f.Headroom.Zones, failures)
	v.check("room.regions-lost", f.Headroom.Regions, failures)
	v.check("replace", f.Replacements, required)
	for index := range f.SurgePools {
		v.surgePool(fmt.Sprintf("place[%d].", index), &f.SurgePools[index])
	}
	for index := range f.Capacities {
		v.capacity(fmt.Sprintf("capacity[%d].", index), &f.Capacities[index])
	}
	v.replacements(f.Replacements)
	v.periods(f.Periods)
	v.stages(f)
	return v.faults
}

func (v *validator) surgePool(key string, pool *SurgePool) {
	v.check(key+"zone", pool.Zone, required)
	v.check(key+"kind", pool.Kind, nodeKind)
	v.check(key+"free", pool.Free, nonNegativeCount)
}

func (v *validator) capacity(key string, capacity *Capacity) {
	v.check(key+"kind", capacity.Kind, servingKind)
	v.service(key, capacity.Kind, capacity.Service)
	v.amounts(key, &capacity.Amounts)
}

// service checks that a service is given for servers, and only for servers.
func (v *validator) service(key, kind, service string) {
	if (kind == string(capacity.Server)) != (service != "") && kind != "" {
		v.add(key+"service", "is required for servers, and not allowed for other kinds")
	}
}

func (v *validator) amounts(key string, amounts *Amounts) {
	for resource, value := range amounts.amount() {
		v.check(key+capacity.Resource(resource).String(), value, nonNegative)
	}
}

func (v *validator) replacements(replacements []Replacement) {
	used := make(map[string]bool)
	for index := range replacements {
		entry := &replacements[index]
		key := fmt.Sprintf("replace[%d].", index)
		v.check(key+"kind", entry.Kind, nodeKind)
		v.check(key+"old", entry.Old, required)
		v.check(key+"new", entry.New, required)
		v.check(key+"start", entry.Start, optionalDuration)
		v.check(key+"warm", entry.Warm, optionalDuration)
		v.check(key+"drain", entry.Drain, optionalDuration)
		v.check(key+"stop", entry.Stop, optionalDuration)
		for _, named := range []struct{ member, name string }{{"old", entry.Old}, {"new", entry.New}} {
			if named.name != "" && used[named.name] {
				v.add(key+named.member, fmt.Sprintf("%q is named twice", named.name))
			}
			used[named.name] = true
		}
		if !entry.Surge && entry.Zone != "" {
			v.add(key+"zone", "must be empty for an in-place replacement")
		}
	}
}

// periods checks that the periods cover the day without gaps.
func (v *validator) periods(periods []Period) {
	previousEnd := time.Duration(0)
	for index := range periods {
		previousEnd = v.period(fmt.Sprintf("period[%d].", index), &periods[index], previousEnd)
	}
	if len(periods) > 0 && previousEnd != day {
		v.add(fmt.Sprintf("period[%d].until", len(periods)-1), "must be 24:00 for the last period")
	}
}

func (v *validator) load(key string, load *Load) {
	v.check(key+"region", load.Region, required)
	v.check(key+"kind", load.Kind, servingKind)
	v.service(key, load.Kind, load.Service)
	v.check(key+"saved", load.CachedPrefill, nonNegative)
	v.amounts(key, &load.Amounts)
}

// stages checks the stages, if there are any: together they must contain every replacement exactly once.
func (v *validator) stages(f *File) {
	if len(f.Stages) == 0 {
		return
	}
	var planned []string
	for index := range f.Stages {
		stage := &f.Stages[index]
		key := fmt.Sprintf("stage[%d].", index)
		v.check(key+"begin", stage.Begin, stageTime)
		v.check(key+"lasts", stage.Duration, optionalDuration)
		v.check(key+"replace", stage.Replace, nonEmptyNames)
		for _, old := range stage.Replace {
			if slices.Contains(planned, old) {
				v.add(key+"replace", fmt.Sprintf("%q is replaced twice", old))
			}
			if !slices.ContainsFunc(f.Replacements, func(known Replacement) bool { return known.Old == old }) {
				v.add(key+"replace", fmt.Sprintf("%q is not the old node of any replacement", old))
			}
			planned = append(planned, old)
		}
	}
	for index := range f.Replacements {
		if old := f.Replacements[index].Old; !slices.Contains(planned, old) {
			v.add(fmt.Sprintf("replace[%d].old", index), fmt.Sprintf("%q is in no stage", old))
		}
	}
}

// period checks one period and returns its end.
func (v *validator) period(key string, period *Period, previousEnd time.Duration) time.Duration {
	v.check(key+"from", period.From, timeOfDay)
	v.check(key+"until", period.Until, timeOfDay)
	for index := range period.Loads {
		v.load(fmt.Sprintf("%sload[%d].", key, index), &period.Loads[index])
	}
	from, _ := parseTimeOfDay(period.From)
	until, _ := parseTimeOfDay(period.Until)
	if from != previousEnd {
		v.add(key+"from", "must equal the end of the previous period; the first period begins at 00:00")
	}
	if until <= from {
		v.add(key+"until", "must be after from")
	}
	return until
}
