package planfile

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"fieldrelay/internal/migration/plan"
)

// WithPlan returns the file with the stages of a plan in place of its own.
func (f *File) WithPlan(made *plan.Plan) *File {
	planned := *f
	planned.Stages = nil
	for _, stage := range made.Stages {
		written := Stage{Begin: formatTime(stage.Begin), Duration: stage.Duration.String()}
		for _, one := range stage.Replacements {
			written.Replace = append(written.Replace, f.nameOf(&one))
		}
		planned.Stages = append(planned.Stages, written)
	}
	return &planned
}

// nameOf is the name that the file has for the old node of a replacement.
func (f *File) nameOf(one *plan.Replacement) string {
	for index := range f.Replacements {
		if f.Replacements[index].New == one.New.ID {
			return f.Replacements[index].Old
		}
	}
	return one.Old.ID
}

// Plan makes the plan that the file's stages tell, and checks them anew: the errors are those of plan.Verify.
func (f *File) Plan(input plan.Input) (*plan.Plan, error) {
	made := &plan.Plan{Begin: input.Begin, End: input.Begin}
	for _, written := range f.Stages {
		stage := plan.Stage{Duration: durationOr(written.Duration, 0)}
		stage.Begin, _ = parseTimeOfDay(written.Begin)
		for _, name := range written.Replace {
			stage.Replacements = append(stage.Replacements, f.replacementNamed(name, input.Replacements)...)
		}
		made.End = stage.Begin + stage.Duration
		made.Stages = append(made.Stages, stage)
	}
	if err := plan.Verify(input, made.Stages); err != nil {
		return nil, err
	}
	return made, nil
}

// named finds the replacement whose old node the file names so. Replacements lie in the order of the file.
func (f *File) replacementNamed(name string, replacements []plan.Replacement) []plan.Replacement {
	index := slices.IndexFunc(f.Replacements, func(one Replacement) bool { return one.Old == name })
	if index < 0 || index >= len(replacements) {
		return nil
	}
	return replacements[index : index+1]
}

// Digest names a file's content, stages included.
func (f *File) Digest() (string, error) {
	data, err := toml.Marshal(f)
	if err != nil {
		return "", errors.Wrap(err, "write the plan")
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:]), nil
}

// Write gives the file as TOML. The stages of a plan, if one is given, come with remarks for the reviewer.
func (f *File) Write(made *plan.Plan) ([]byte, error) {
	head := *f
	head.Stages = nil
	data, err := toml.Marshal(&head)
	if err != nil {
		return nil, errors.Wrap(err, "write the plan")
	}
	buffer := bytes.NewBuffer(data)
	if made != nil {
		writeSummary(buffer, made)
	}
	for index := range f.Stages {
		if made != nil {
			writeRemarks(buffer, index+1, &made.Stages[index])
		}
		stage, err := toml.Marshal(struct {
			Stages []Stage `toml:"stage"`
		}{f.Stages[index : index+1]})
		if err != nil {
			return nil, errors.Wrap(err, "write a stage")
		}
		buffer.Write(stage)
	}
	return buffer.Bytes(), nil
}

func writeSummary(buffer *bytes.Buffer, made *plan.Plan) {
	order := "the best of the orders that were tried"
	if made.Shortest {
		order = "no order takes less time"
	}
	fmt.Fprintf(buffer, "\n# %d stages, done by %s (%s).\n", len(made.Stages), formatTime(made.End), order)
}

// writeRemarks tells a reviewer what a stage does.
func writeRemarks(buffer *bytes.Buffer, number int, stage *plan.Stage) {
	fmt.Fprintf(buffer, "\n# Stage %d, from %s on, about %s.\n", number, formatTime(stage.Begin), stage.Duration)
	buffer.WriteString("# Before each step: room as measured then, a warm server left in the zone, voters within the budget.\n")
	for index := range stage.Replacements {
		one := &stage.Replacements[index]
		times := &one.Times
		fmt.Fprintf(buffer, "#   %s %s -> %s in %s\n", one.Old.Group(), one.Old.ID, one.New.ID, one.New.Zone)
		if one.Surge {
			fmt.Fprintf(buffer, "#     hand-over: new first, up in %s, warm in %s\n", times.Start, times.Warm)
		} else {
			fmt.Fprintf(buffer, "#     hand-over: old first; the new one is up in %s, warm in %s\n", times.Start, times.Warm)
		}
		fmt.Fprintf(buffer, "#     drain: replies up to %s, %s on their way\n", times.Drain, times.Linger)
		fmt.Fprintf(buffer, "#     check: all proxies confirmed, no reply open, new node ready%s\n", checkSuffix(one.Surge))
		fmt.Fprintf(buffer, "#     way back: the old node serves again at once, until it may be stopped (%s)\n", times.Stop.Round(time.Millisecond))
	}
}

func checkSuffix(beside bool) string {
	if beside {
		return ""
	}
	return " before the next stage"
}
