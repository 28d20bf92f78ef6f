package planfile

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"

	"fieldrelay/internal/region/migration/plan"
)

// Digest returns the hexadecimal SHA-256 digest of the file's content, including the stages. Comments do not affect it.
func (f *File) Digest() (string, error) {
	data, err := toml.Marshal(f)
	if err != nil {
		return "", errors.Wrap(err, "encode the plan file as TOML")
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:]), nil
}

// Write returns the file as TOML, with comments for the reviewer on each stage if migrationPlan, the plan of these
// stages, is not nil.
func (f *File) Write(migrationPlan *plan.Plan) ([]byte, error) {
	head := *f
	head.Stages = nil
	data, err := toml.Marshal(&head)
	if err != nil {
		return nil, errors.Wrap(err, "encode the plan file as TOML")
	}
	buffer := bytes.NewBuffer(data)
	if migrationPlan != nil {
		writeSummary(buffer, migrationPlan)
	}
	for index := range f.Stages {
		if migrationPlan != nil {
			writeStageComment(buffer, index+1, &migrationPlan.Stages[index])
		}
		stage, err := toml.Marshal(struct {
			Stages []Stage `toml:"stage"`
		}{f.Stages[index : index+1]})
		if err != nil {
			return nil, errors.Wrap(err, "encode a stage as TOML")
		}
		buffer.Write(stage)
	}
	return buffer.Bytes(), nil
}

func writeSummary(buffer *bytes.Buffer, migrationPlan *plan.Plan) {
	order := "the best of the orders that were tried"
	if migrationPlan.Shortest {
		order = "no order takes less time"
	}
	fmt.Fprintf(buffer, "\n# %d stages, done by %s (%s).\n", len(migrationPlan.Stages), formatTime(migrationPlan.End), order)
}

// writeStageComment writes a comment that explains a stage to the reviewer.
func writeStageComment(buffer *bytes.Buffer, number int, stage *plan.Stage) {
	fmt.Fprintf(buffer, "\n# Stage %d, from %s on, about %s.\n", number, formatTime(stage.Begin), stage.Duration)
	buffer.WriteString("# Before each step: room as measured then, a warm server left in the zone, voters within the budget.\n")
	for index := range stage.Replacements {
		replacement := &stage.Replacements[index]
		times := &replacement.Times
		fmt.Fprintf(buffer, "#   %s %s -> %s in %s\n", replacement.Old.Group(), replacement.Old.ID, replacement.New.ID, replacement.New.Zone)
		if replacement.Surge {
			fmt.Fprintf(buffer, "#     hand-over: new first, up in %s, warm in %s\n", times.Start, times.Warm)
		} else {
			fmt.Fprintf(buffer, "#     hand-over: old first; the new one is up in %s, warm in %s\n", times.Start, times.Warm)
		}
		fmt.Fprintf(buffer, "#     drain: replies up to %s, %s on their way\n", times.Drain, times.Linger)
		fmt.Fprintf(buffer, "#     check: all proxies confirmed, no reply open, new node ready%s\n", checkSuffix(replacement.Surge))
		fmt.Fprintf(buffer, "#     way back: the old node serves again at once, until it may be stopped (%s)\n", times.Stop.Round(time.Millisecond))
	}
}

// checkSuffix returns the end of the comment line on checks: with surge the new node must be ready before the old one is
// stopped; in place, only before the next stage.
func checkSuffix(surge bool) string {
	if surge {
		return ""
	}
	return " before the next stage"
}
