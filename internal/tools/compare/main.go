// Command compare runs benchmark days of a deployment with several variants of the system, paired by day and seed,
// and reports how the score of each variant differs from the score of the first variant: mean difference, standard
// deviation, number of pairs. A variant is a revision of the repository with a list of disabled mechanisms of the
// policy (package policy).
//
//	go run ./internal/tools/compare --bench PATH --site FILE --day quiet-1 --seed 1 --seed 2 \
//	    --variant all=HEAD --variant spill=HEAD:spill --out DIR --why "..."
//
// Each variant is built in a clone of its own. The bench's journal entries are copied to the folder that --journal
// names.
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/alecthomas/kong"
)

// options are the command-line options.
type options struct {
	Bench    string   `required:"" type:"existingfile" help:"Path of the bench program."`
	Site     string   `required:"" type:"existingfile" help:"The site file."`
	Day      []string `required:"" help:"A day of the site, or a file that contains one; may be repeated."`
	Seed     []uint64 `required:"" help:"A seed; may be repeated."`
	Variant  []string `required:"" sep:"none" help:"NAME=REVISION[:MECHANISM,...]; the first variant is the baseline."`
	Jobs     int      `default:"4" help:"Number of concurrent runs."`
	Small    bool     `help:"Run the scaled-down versions of large days."`
	Charge   bool     `help:"Charge CPU time, which increases the variance between runs."`
	Work     string   `required:"" type:"path" help:"Folder for the clones."`
	Out      string   `required:"" type:"path" help:"Output folder for the table and the plot."`
	Journal  string   `type:"path" help:"Folder that the bench's journal entries are copied to."`
	Why      string   `required:"" help:"Reason for the runs, recorded in the journal."`
	Revision string   `default:"." help:"Repository that contains the revisions."`
}

func main() {
	var given options
	kong.Parse(&given, kong.Name("compare"), kong.Description("Runs benchmark days with variants of the system, paired by day and seed."))
	if err := run(&given); err != nil {
		fmt.Fprintln(os.Stderr, "compare:", err)
		os.Exit(1)
	}
}

// run plays all days with all variants and writes the comparison as a table and a plot.
func run(given *options) error {
	variants, err := parseVariants(given.Variant)
	if err != nil {
		return err
	}
	plays, err := playAll(given, variants)
	if err != nil {
		return err
	}
	rows := compareWithFirst(variants, plays)
	if err := os.MkdirAll(given.Out, 0o755); err != nil {
		return err
	}
	table := tableOf(rows)
	fmt.Print(table)
	if err := os.WriteFile(filepath.Join(given.Out, "table.md"), []byte(table), 0o644); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(given.Out, "plot.svg"), []byte(plotOf(rows)), 0o644)
}
