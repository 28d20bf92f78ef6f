// Command compare plays days of a deployment with several variants of the system, paired by day and seed, and tells
// how the worth of each variant differs from that of the first: difference, spread, number of pairs. A variant is a
// revision of the repository and the mechanisms of the policy (package policy) that are switched off.
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

// options are the command line.
type options struct {
	Bench    string   `required:"" type:"existingfile" help:"The bench's program."`
	Site     string   `required:"" type:"existingfile" help:"The site file."`
	Day      []string `required:"" help:"A day of the site, or a file that holds one; may be repeated."`
	Seed     []uint64 `required:"" help:"A seed; may be repeated."`
	Variant  []string `required:"" sep:"none" help:"NAME=REVISION[:MECHANISM,...]; the first is what the others are compared with."`
	Jobs     int      `default:"4" help:"Plays at a time."`
	Small    bool     `help:"Play the small twins of large days."`
	Charge   bool     `help:"Charge processor time, which makes plays differ by more."`
	Work     string   `required:"" type:"path" help:"Folder for the clones."`
	Out      string   `required:"" type:"path" help:"Folder for table and plot."`
	Journal  string   `type:"path" help:"Folder that the bench's journal entries are copied to."`
	Why      string   `required:"" help:"The line for the journal."`
	Revision string   `default:"." help:"The repository that revisions are of."`
}

func main() {
	var given options
	kong.Parse(&given, kong.Name("compare"), kong.Description("Plays days with variants of the system, paired by seed."))
	if err := run(&given); err != nil {
		fmt.Fprintln(os.Stderr, "compare:", err)
		os.Exit(1)
	}
}

// run plays everything and writes what came of it.
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
