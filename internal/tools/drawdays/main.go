// Command drawdays generates random days for the bench from a seed, so that a search for faults can continue with new
// days.
//
//	drawdays SITE OUTPUT-FOLDER --seed 7 --per-point 8
//
// Each day tests one of five points (see points.go) and combines it with other kinds of faults, the crossings. The
// days of a point go through all kinds in all forms that the bench defines; a day has each of its crossings twice if
// the fault budget permits. The new site file contains the drawn days instead of the original ones; the required
// companion files are copied. The bench's commands score, hunt and run accept it. OUTPUT-FOLDER should be outside the
// repository.
package main

import (
	"fmt"
	"slices"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"fieldrelay/internal/tools/sitefile"
)

// contractsOfCrossings are the optional parts of the rules that some kinds of faults require to be enabled.
var contractsOfCrossings = []string{"health", "pool"}

type command struct {
	Site     string   `arg:"" help:"Site file to generate days for."`
	Output   string   `arg:"" help:"Folder for the new site file, outside the repository."`
	Seed     uint64   `help:"Seed; the same seed generates the same days." required:""`
	PerPoint int      `help:"Number of days for each point." default:"8"`
	Points   []string `help:"Points to generate days for; default: all."`
	LengthS  float64  `help:"Length of the days in seconds; 0: length in the site file." default:"0"`
}

func main() {
	var options command
	parsed := kong.Parse(&options, kong.Name("drawdays"), kong.UsageOnError(),
		kong.Description("Generates random days for the bench from a seed."))
	path, err := drawSite(options)
	parsed.FatalIfErrorf(err)
	fmt.Println(path)
}

// drawSite writes a copy of the site with drawn days and returns its path.
func drawSite(options command) (string, error) {
	site := map[string]any{}
	if err := sitefile.Read(options.Site, &site); err != nil {
		return "", err
	}
	if options.LengthS > 0 {
		site["length_s"] = options.LengthS
	}
	bounds, err := limitsOf(site)
	if err != nil {
		return "", errors.Wrap(err, options.Site)
	}
	chosen, err := pointsNamed(options.Points)
	if err != nil {
		return "", err
	}
	site["day"] = newDrawer(options.Seed, bounds).days(chosen, options.PerPoint)
	openContracts(site)
	name := fmt.Sprintf("%v-drawn-%d", site["name"], options.Seed)
	site["name"] = name
	return sitefile.Write(site, name, options.Site, options.Output)
}

func pointsNamed(names []string) ([]point, error) {
	if len(names) == 0 {
		return allPoints(), nil
	}
	var chosen []point
	for _, name := range names {
		found := slices.IndexFunc(allPoints(), func(p point) bool { return p.name == name })
		if found < 0 {
			return nil, errors.WithStack(&UnknownPointError{Name: name})
		}
		chosen = append(chosen, allPoints()[found])
	}
	return chosen, nil
}

// UnknownPointError reports that no point has the requested name.
type UnknownPointError struct{ Name string }

// Error implements error.
func (e *UnknownPointError) Error() string { return fmt.Sprintf("unknown point %q", e.Name) }

// openContracts enables the parts of the rules that the crossings require.
func openContracts(site map[string]any) {
	open, _ := site["contracts"].([]any)
	for _, wanted := range contractsOfCrossings {
		if !slices.Contains(open, any(wanted)) {
			open = append(open, wanted)
		}
	}
	site["contracts"] = open
}
