package planfile

import (
	"slices"

	"fieldrelay/internal/region/migration/plan"
)

// WithPlan returns a copy of the file with the stages of a plan instead of its own.
func (f *File) WithPlan(migrationPlan *plan.Plan) *File {
	planned := *f
	planned.Stages = nil
	for _, stage := range migrationPlan.Stages {
		written := Stage{Begin: formatTime(stage.Begin), Duration: stage.Duration.String()}
		for _, replacement := range stage.Replacements {
			written.Replace = append(written.Replace, f.nameOf(&replacement))
		}
		planned.Stages = append(planned.Stages, written)
	}
	return &planned
}

// nameOf returns the name of the old node of a replacement in the file: an address, an ID or a host.
func (f *File) nameOf(replacement *plan.Replacement) string {
	for index := range f.Replacements {
		if f.Replacements[index].New == replacement.New.ID {
			return f.Replacements[index].Old
		}
	}
	return replacement.Old.ID
}

// Plan returns the plan that the file's stages describe, after verifying it. The errors are those of plan.Verify.
func (f *File) Plan(input plan.Input) (*plan.Plan, error) {
	migrationPlan := &plan.Plan{Begin: input.Begin, End: input.Begin}
	for _, written := range f.Stages {
		stage := plan.Stage{Duration: durationOr(written.Duration, 0)}
		stage.Begin, _ = parseTimeOfDay(written.Begin)
		for _, name := range written.Replace {
			stage.Replacements = append(stage.Replacements, f.replacementNamed(name, input.Replacements)...)
		}
		migrationPlan.End = stage.Begin + stage.Duration
		migrationPlan.Stages = append(migrationPlan.Stages, stage)
	}
	if err := plan.Verify(input, migrationPlan.Stages); err != nil {
		return nil, err
	}
	return migrationPlan, nil
}

// replacementNamed returns a slice with the replacement whose old node has the given name in the file, or nil if there is
// none. The replacements must be in the order of the file, as File.Input returns them.
func (f *File) replacementNamed(name string, replacements []plan.Replacement) []plan.Replacement {
	index := slices.IndexFunc(f.Replacements, func(entry Replacement) bool { return entry.Old == name })
	if index < 0 || index >= len(replacements) {
		return nil
	}
	return replacements[index : index+1]
}
