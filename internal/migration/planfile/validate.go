package planfile

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	validation "github.com/go-ozzo/ozzo-validation/v4"

	"fieldrelay/internal/migration/room"
	"fieldrelay/internal/tomlfile"
)

const day = 24 * time.Hour

// maxFailures bounds the losses that are tried in all combinations.
const maxFailures = 3

var (
	required         = []validation.Rule{validation.Required}
	nodeKind         = []validation.Rule{validation.Required, validation.In(string(room.Server), string(room.Edge), string(room.Core))}
	servingKind      = []validation.Rule{validation.Required, validation.In(string(room.Server), string(room.Edge))}
	timeOfDay        = []validation.Rule{validation.Required, validation.By(isTimeOfDay)}
	optionalDuration = []validation.Rule{validation.By(isDuration)}
	nonNegative      = []validation.Rule{validation.By(isFinite), validation.Min(0.0)}
	fraction         = []validation.Rule{validation.By(isFinite), validation.Min(0.0), validation.Max(1.0)}
	failures         = []validation.Rule{validation.Min(0), validation.Max(maxFailures)}
	nonNegativeCount = []validation.Rule{validation.Min(0)}
	needed           = []validation.Rule{validation.Required}
	nonEmptyNames    = []validation.Rule{validation.Required, validation.Each(validation.Required)}
	stageTime        = []validation.Rule{validation.Required, validation.By(isStageTime)}
)

// checker collects the faults of a file, without their lines.
type validator struct{ faults []*tomlfile.Fault }

func (c *validator) check(key string, value any, rules []validation.Rule) {
	if err := validation.Validate(value, rules...); err != nil {
		c.add(key, err.Error())
	}
}

func (c *validator) add(key, reason string) {
	c.faults = append(c.faults, &tomlfile.Fault{Key: key, Reason: reason})
}

func (f *File) validate() []*tomlfile.Fault {
	c := &validator{}
	c.check("name", f.Name, required)
	c.check("begin", f.Begin, timeOfDay)
	c.check("window", f.Window, optionalDuration)
	c.check("share", f.BatchFraction, fraction)
	c.check("room.margin", f.Headroom.Margin, nonNegative)
	c.check("room.hosts-lost", f.Headroom.Hosts, failures)
	c.check("room.zones-lost", f.Headroom.Zones, failures)
	c.check("room.regions-lost", f.Headroom.Regions, failures)
	c.check("replace", f.Replacements, needed)
	for index := range f.SurgePools {
		c.surgePool(fmt.Sprintf("place[%d].", index), &f.SurgePools[index])
	}
	for index := range f.Capacities {
		c.capacity(fmt.Sprintf("capacity[%d].", index), &f.Capacities[index])
	}
	c.replacements(f.Replacements)
	c.periods(f.Periods)
	c.stages(f)
	return c.faults
}

func (c *validator) surgePool(key string, place *SurgePool) {
	c.check(key+"zone", place.Zone, required)
	c.check(key+"kind", place.Kind, nodeKind)
	c.check(key+"free", place.Free, nonNegativeCount)
}

func (c *validator) capacity(key string, capacity *Capacity) {
	c.check(key+"kind", capacity.Kind, servingKind)
	c.service(key, capacity.Kind, capacity.Service)
	c.amounts(key, &capacity.Amounts)
}

// service checks that a service is named for servers, and only for them.
func (c *validator) service(key, kind, service string) {
	if (kind == string(room.Server)) != (service != "") && kind != "" {
		c.add(key+"service", "must be named for servers, and for nothing else")
	}
}

func (c *validator) amounts(key string, amounts *Amounts) {
	for resource, value := range amounts.amount() {
		c.check(key+room.Resource(resource).String(), value, nonNegative)
	}
}

func (c *validator) replacements(replacements []Replacement) {
	used := make(map[string]bool)
	for index := range replacements {
		one := &replacements[index]
		key := fmt.Sprintf("replace[%d].", index)
		c.check(key+"kind", one.Kind, nodeKind)
		c.check(key+"old", one.Old, required)
		c.check(key+"new", one.New, required)
		c.check(key+"start", one.Start, optionalDuration)
		c.check(key+"warm", one.Warm, optionalDuration)
		c.check(key+"drain", one.Drain, optionalDuration)
		c.check(key+"stop", one.Stop, optionalDuration)
		for _, named := range []struct{ member, name string }{{"old", one.Old}, {"new", one.New}} {
			if named.name != "" && used[named.name] {
				c.add(key+named.member, fmt.Sprintf("%q is named twice", named.name))
			}
			used[named.name] = true
		}
		if !one.Surge && one.Zone != "" {
			c.add(key+"zone", "must not be told of a node that takes the place of the old one")
		}
	}
}

// periods checks that the day is covered without gaps.
func (c *validator) periods(periods []Period) {
	end := time.Duration(0)
	for index := range periods {
		one := &periods[index]
		key := fmt.Sprintf("period[%d].", index)
		c.check(key+"from", one.From, timeOfDay)
		c.check(key+"until", one.Until, timeOfDay)
		for position := range one.Loads {
			c.load(fmt.Sprintf("%sload[%d].", key, position), &one.Loads[position])
		}
		from, _ := parseTimeOfDay(one.From)
		until, _ := parseTimeOfDay(one.Until)
		if from != end {
			c.add(key+"from", "must be where the period before ends; the first begins at 00:00")
		}
		if until <= from {
			c.add(key+"until", "must be after from")
		}
		end = until
	}
	if len(periods) > 0 && end != day {
		c.add(fmt.Sprintf("period[%d].until", len(periods)-1), "must be 24:00 for the last period")
	}
}

func (c *validator) load(key string, load *Load) {
	c.check(key+"region", load.Region, required)
	c.check(key+"kind", load.Kind, servingKind)
	c.service(key, load.Kind, load.Service)
	c.check(key+"saved", load.CachedPrefill, nonNegative)
	c.amounts(key, &load.Amounts)
}

// stages checks that the stages, if there are any, make every replacement once.
func (c *validator) stages(f *File) {
	if len(f.Stages) == 0 {
		return
	}
	var planned []string
	for index := range f.Stages {
		one := &f.Stages[index]
		key := fmt.Sprintf("stage[%d].", index)
		c.check(key+"begin", one.Begin, stageTime)
		c.check(key+"lasts", one.Duration, optionalDuration)
		c.check(key+"replace", one.Replace, nonEmptyNames)
		for _, old := range one.Replace {
			if slices.Contains(planned, old) {
				c.add(key+"replace", fmt.Sprintf("%q is replaced twice", old))
			}
			if !slices.ContainsFunc(f.Replacements, func(known Replacement) bool { return known.Old == old }) {
				c.add(key+"replace", fmt.Sprintf("%q is not among what is to be replaced", old))
			}
			planned = append(planned, old)
		}
	}
	for index := range f.Replacements {
		if old := f.Replacements[index].Old; !slices.Contains(planned, old) {
			c.add(fmt.Sprintf("replace[%d].old", index), fmt.Sprintf("%q is in no stage", old))
		}
	}
}

func isFinite(value any) error {
	number := value.(float64)
	if math.IsNaN(number) || math.IsInf(number, 0) {
		return errors.New("must be a finite number")
	}
	return nil
}

func isDuration(value any) error {
	if value.(string) == "" {
		return nil
	}
	if parsed, err := time.ParseDuration(value.(string)); err != nil || parsed < 0 {
		return errors.New("must be a duration such as 1m30s")
	}
	return nil
}

func isTimeOfDay(value any) error {
	if at, err := parseTimeOfDay(value.(string)); err != nil || at > day {
		return errors.New("must be a time of day such as 21:30")
	}
	return nil
}

func isStageTime(value any) error {
	if _, err := parseTimeOfDay(value.(string)); err != nil {
		return errors.New("must be a time such as 21:30:00")
	}
	return nil
}

// parseTimeOfDay reads "15:04" or "15:04:05", from 00:00 on without an end.
func parseTimeOfDay(value string) (time.Duration, error) {
	fields := strings.Split(value, ":")
	if len(fields) < 2 || len(fields) > 3 {
		return 0, errors.Newf("%q is not a time of day", value)
	}
	total := time.Duration(0)
	for index, unit := range []time.Duration{time.Hour, time.Minute, time.Second}[:len(fields)] {
		number, err := strconv.ParseUint(fields[index], 10, 16)
		if err != nil || (index > 0 && number >= 60) {
			return 0, errors.Newf("%q is not a time of day", value)
		}
		total += time.Duration(number) * unit
	}
	return total, nil
}

// formatTime is the reverse of parseTimeOfDay; parts of a second are rounded up.
func formatTime(at time.Duration) string {
	seconds := int64((at + time.Second - 1) / time.Second)
	return fmt.Sprintf("%02d:%02d:%02d", seconds/3600, seconds/60%60, seconds%60)
}
