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

// mostLost bounds the losses that are tried in all combinations.
const mostLost = 3

var (
	text      = []validation.Rule{validation.Required}
	kind      = []validation.Rule{validation.Required, validation.In(string(room.Server), string(room.Edge), string(room.Core))}
	serving   = []validation.Rule{validation.Required, validation.In(string(room.Server), string(room.Edge))}
	ofDay     = []validation.Rule{validation.Required, validation.By(isTimeOfDay)}
	duration  = []validation.Rule{validation.By(isDuration)}
	figure    = []validation.Rule{validation.By(isFigure), validation.Min(0.0)}
	part      = []validation.Rule{validation.By(isFigure), validation.Min(0.0), validation.Max(1.0)}
	lost      = []validation.Rule{validation.Min(0), validation.Max(mostLost)}
	count     = []validation.Rule{validation.Min(0)}
	needed    = []validation.Rule{validation.Required}
	names     = []validation.Rule{validation.Required, validation.Each(validation.Required)}
	stageTime = []validation.Rule{validation.Required, validation.By(isStageTime)}
)

// checker collects the faults of a file, without their lines.
type checker struct{ faults []*tomlfile.Fault }

func (c *checker) check(key string, value any, rules []validation.Rule) {
	if err := validation.Validate(value, rules...); err != nil {
		c.add(key, err.Error())
	}
}

func (c *checker) add(key, reason string) {
	c.faults = append(c.faults, &tomlfile.Fault{Key: key, Reason: reason})
}

func (f *File) validate() []*tomlfile.Fault {
	c := &checker{}
	c.check("name", f.Name, text)
	c.check("begin", f.Begin, ofDay)
	c.check("window", f.Window, duration)
	c.check("share", f.Share, part)
	c.check("room.margin", f.Room.Margin, figure)
	c.check("room.hosts-lost", f.Room.Hosts, lost)
	c.check("room.zones-lost", f.Room.Zones, lost)
	c.check("room.regions-lost", f.Room.Regions, lost)
	c.check("replace", f.Replacements, needed)
	for index := range f.Places {
		c.place(fmt.Sprintf("place[%d].", index), &f.Places[index])
	}
	for index := range f.Capacities {
		c.capacity(fmt.Sprintf("capacity[%d].", index), &f.Capacities[index])
	}
	c.replacements(f.Replacements)
	c.periods(f.Periods)
	c.stages(f)
	return c.faults
}

func (c *checker) place(key string, place *Place) {
	c.check(key+"zone", place.Zone, text)
	c.check(key+"kind", place.Kind, kind)
	c.check(key+"free", place.Free, count)
}

func (c *checker) capacity(key string, capacity *Capacity) {
	c.check(key+"kind", capacity.Kind, serving)
	c.service(key, capacity.Kind, capacity.Service)
	c.amounts(key, &capacity.Amounts)
}

// service checks that a service is named for servers, and only for them.
func (c *checker) service(key, kind, service string) {
	if (kind == string(room.Server)) != (service != "") && kind != "" {
		c.add(key+"service", "must be named for servers, and for nothing else")
	}
}

func (c *checker) amounts(key string, amounts *Amounts) {
	for resource, value := range amounts.amount() {
		c.check(key+room.Resource(resource).String(), value, figure)
	}
}

func (c *checker) replacements(replacements []Replacement) {
	used := make(map[string]bool)
	for index := range replacements {
		one := &replacements[index]
		key := fmt.Sprintf("replace[%d].", index)
		c.check(key+"kind", one.Kind, kind)
		c.check(key+"old", one.Old, text)
		c.check(key+"new", one.New, text)
		c.check(key+"start", one.Start, duration)
		c.check(key+"warm", one.Warm, duration)
		c.check(key+"drain", one.Drain, duration)
		c.check(key+"stop", one.Stop, duration)
		for _, named := range []struct{ member, name string }{{"old", one.Old}, {"new", one.New}} {
			if named.name != "" && used[named.name] {
				c.add(key+named.member, fmt.Sprintf("%q is named twice", named.name))
			}
			used[named.name] = true
		}
		if !one.Beside && one.Zone != "" {
			c.add(key+"zone", "must not be told of a node that takes the place of the old one")
		}
	}
}

// periods checks that the day is covered without gaps.
func (c *checker) periods(periods []Period) {
	end := time.Duration(0)
	for index := range periods {
		one := &periods[index]
		key := fmt.Sprintf("period[%d].", index)
		c.check(key+"from", one.From, ofDay)
		c.check(key+"until", one.Until, ofDay)
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

func (c *checker) load(key string, load *Load) {
	c.check(key+"region", load.Region, text)
	c.check(key+"kind", load.Kind, serving)
	c.service(key, load.Kind, load.Service)
	c.check(key+"saved", load.Saved, figure)
	c.amounts(key, &load.Amounts)
}

// stages checks that the stages, if there are any, make every replacement once.
func (c *checker) stages(f *File) {
	if len(f.Stages) == 0 {
		return
	}
	var planned []string
	for index := range f.Stages {
		one := &f.Stages[index]
		key := fmt.Sprintf("stage[%d].", index)
		c.check(key+"begin", one.Begin, stageTime)
		c.check(key+"lasts", one.Lasts, duration)
		c.check(key+"replace", one.Replace, names)
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

func isFigure(value any) error {
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
