package main

import (
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"github.com/stretchr/testify/require"

	"fieldrelay/internal/tools/sitefile"
)

const seedsTried = 40

// siteLimits are the limits of sites of different sizes and fault budgets.
var siteLimits = []limits{
	{lengthS: 34, leadS: 10, syncS: 4, machines: 1, coreCount: 5, zones: 1},
	{lengthS: 34, leadS: 10, syncS: 4, machines: 1, coreCount: 3, zones: 1},
	{lengthS: 34, leadS: 10, syncS: 6, machines: 2, coreCount: 9, zones: 1},
	{lengthS: 90, leadS: 14, syncS: 4, machines: 1, coreCount: 5, zones: 1},
	{lengthS: 34, leadS: 10, syncS: 4, machines: 0, coreCount: 2, zones: 0},
}

// knownKinds are all kinds of faults and planned operations that the bench defines for any site.
var knownKinds = strings.Fields(`shift srv_crash srv_grey srv_lying_health srv_flap release cold_return answer_lost
	garble node_kill roll_term after_ack_kill after_ack_wipe disk_full core_cut config_change config_storm
	config_race big_config evacuate burst retry_abuse give_up srv_slow srv_cut replace_with_reuse scale_out scale_in
	idle_race node_freeze node_slow herd_kill replace_core seed_turnover add_nodes disk_slow disk_stall clock_step hup
	reset_conns zone_loss zone_cut node_cut bad_config ack_lost`)

func forEachDay(t *testing.T, check func(t *testing.T, site limits, drawn day)) {
	for index, site := range siteLimits {
		t.Run(fmt.Sprint(index), func(t *testing.T) {
			for seed := range uint64(seedsTried) {
				for _, drawn := range newDrawer(seed, site).days(allPoints(), 2) {
					check(t, site, drawn)
				}
			}
		})
	}
}

func TestSameSeedDrawsSameDays(t *testing.T) {
	first := newDrawer(7, siteLimits[0]).days(allPoints(), 5)
	second := newDrawer(7, siteLimits[0]).days(allPoints(), 5)
	other := newDrawer(8, siteLimits[0]).days(allPoints(), 5)

	require.Equal(t, first, second)
	require.NotEqual(t, first, other)
}

func TestEntriesLieWithinTheDay(t *testing.T) {
	forEachDay(t, func(t *testing.T, site limits, drawn day) {
		for _, entry := range append(drawn.Plan, drawn.Faults...) {
			require.Greater(t, entry.At, -site.leadS, "%s: %+v", drawn.Name, entry)
			require.Less(t, entry.At, site.lengthS, "%s: %+v", drawn.Name, entry)
		}
	})
}

// TestFaultBudgetIsKept computes the number of machines lost at once from the generated entries alone, independently of
// the budget's own records.
func TestFaultBudgetIsKept(t *testing.T) {
	taking := takenBudget()
	forEachDay(t, func(t *testing.T, site limits, drawn day) {
		var losses []lossSpan
		for _, entry := range append(drawn.Plan, drawn.Faults...) {
			takes := taking[formOf(entry.Kind, entry.How, entry.On)]
			if takes != machineLoss && takes != zoneLoss {
				continue
			}
			away := entry.ForS
			if entry.Kind == "replace_core" {
				away = entry.X
			}
			losses = append(losses, lossSpan{entry.At, entry.At + away + site.syncS, max(1, entry.Count)})
		}
		for _, at := range losses {
			lost := 0
			for _, other := range losses {
				if other.from <= at.from && at.from < other.to {
					lost += other.machines
				}
			}
			require.LessOrEqual(t, lost, site.machines, "%s at %v: %+v", drawn.Name, at.from, drawn)
		}
	})
}

// TestEnoughIsLeft checks that no day permanently removes too many servers or edge machines, or any core machine.
func TestEnoughIsLeft(t *testing.T) {
	forEachDay(t, func(t *testing.T, site limits, drawn day) {
		edges, servers, core := 0.0, 0.0, 0
		for _, entry := range append(drawn.Plan, drawn.Faults...) {
			switch {
			case entry.Kind == "roll_term" && entry.How == "remove" && entry.On == "core":
				core++
			case entry.Kind == "roll_term" && entry.How == "remove":
				edges += entry.Fraction
			case entry.Kind == "replace_with_reuse" || entry.How == "gone" || entry.Kind == "scale_in" && entry.How == "":
				servers += entry.Fraction
			}
		}
		require.LessOrEqual(t, edges, 0.4, drawn.Name)
		require.LessOrEqual(t, servers, 0.4, drawn.Name)
		require.Zero(t, core, drawn.Name)
	})
}

func formOf(kind, how, on string) string { return kind + "/" + how + "/" + on }

// takenBudget returns the loss of each form in allVariants and partitionVariants. Forms that only points use are missing.
func takenBudget() map[string]loss {
	found := map[string]loss{}
	for _, form := range append(allVariants(), partitionVariants(span{1, 1})...) {
		found[formOf(form.kind, form.how, form.on)] = form.takes
	}
	return found
}

func TestZonesAreLostOnlyWhereThatIsPromised(t *testing.T) {
	lost := 0
	forEachDay(t, func(t *testing.T, site limits, drawn day) {
		for _, entry := range drawn.Faults {
			if entry.Kind == "zone_loss" || entry.Kind == "zone_cut" {
				require.Positive(t, site.zones, drawn.Name)
				lost++
			}
		}
	})
	require.Positive(t, lost)
}

func TestEveryPointIsCrossedWithEveryForm(t *testing.T) {
	perPoint := (len(allVariants()) + crossingsPerDay - 1) / crossingsPerDay
	for _, current := range allPoints() {
		drawer := newDrawer(3, siteLimits[0])
		dealt := map[string]int{}
		for range perPoint * crossingsPerDay {
			form := drawer.nextCrossing(current.name)
			dealt[formOf(form.kind, form.how, form.on)]++
		}
		for _, form := range allVariants() {
			require.NotZero(t, dealt[formOf(form.kind, form.how, form.on)], "%s: %+v", current.name, form)
		}
	}
}

func TestVariantsCoverEveryKindOfTheBench(t *testing.T) {
	listed := map[string]bool{}
	for _, form := range allVariants() {
		listed[form.kind] = true
	}
	for _, kind := range knownKinds {
		require.True(t, listed[kind], kind)
	}
	require.Len(t, listed, len(knownKinds))
}

func TestCutPointHoldsACutOfTwentySecondsWithOrders(t *testing.T) {
	for seed := range uint64(seedsTried) {
		for _, site := range siteLimits {
			if site.machines == 0 {
				continue // no machine may be cut off
			}
			drawn := newDrawer(seed, site).days([]point{allPoints()[0]}, 1)[0]
			start := math.Inf(-1)
			for _, entry := range drawn.Faults {
				if entry.Kind == "core_cut" && entry.ForS == longPartitionS {
					start = entry.At
				}
			}
			require.Greater(t, start, -site.leadS, "%+v", drawn)
			require.True(t, hasOrdersBetween(drawn, start, start+longPartitionS), "%+v", drawn)
		}
	}
}

func hasOrdersBetween(drawn day, from, to float64) bool {
	for _, entry := range drawn.Plan {
		if (entry.Kind == "config_storm" || entry.Kind == "config_race") && entry.At >= from && entry.At < to {
			return true
		}
	}
	return false
}

func TestSecondLossFollowsAsSoonAsTheBudgetIsFree(t *testing.T) {
	site := siteLimits[0]
	for seed := range uint64(seedsTried) {
		drawer := newDrawer(seed, site)
		drawer.budget = newBudget(site)
		var drawn day
		drawSecondLoss(drawer, &drawn)
		require.Greater(t, len(drawer.budget.spans), 2)
		for index, next := range drawer.budget.spans[1:] {
			require.InDelta(t, drawer.budget.spans[index].to+afterSync, next.from, 0.02)
		}
		require.NotNil(t, drawn.Closing)
	}
}

func TestManyChangesBringsOverTwoHundred(t *testing.T) {
	for seed := range uint64(seedsTried) {
		drawn := newDrawer(seed, siteLimits[0]).days([]point{allPoints()[3]}, 1)[0]
		most := 0.0
		for _, entry := range drawn.Plan {
			if entry.Kind == "config_storm" {
				most = max(most, entry.ForS/entry.GapS)
			}
		}
		require.Greater(t, most, 200.0, "%+v", drawn)
	}
}

func TestDrawnSiteIsReadBackWithItsDays(t *testing.T) {
	original := writeSite(t, `name = "small"
length_s = 34.0
lead_s = 10.0
contracts = ["base"]
zones = [{ name = "a", region = "r" }]
machines = [{ class = "core", count = 3 }, { class = "front", count = 4 }]
[timing]
catch_up_s = 4.0
[tolerate]
machines = 1
[[day]]
name = "quiet-1"
`)

	path, err := drawSite(command{Site: original, Output: t.TempDir(), Seed: 5, PerPoint: 2, LengthS: 60})

	require.NoError(t, err)
	var written struct {
		Name      string   `toml:"name"`
		LengthS   float64  `toml:"length_s"`
		Contracts []string `toml:"contracts"`
		Day       []day    `toml:"day"`
	}
	require.NoError(t, sitefile.Read(path, &written))
	require.Equal(t, "small-drawn-5", written.Name)
	require.Equal(t, 60.0, written.LengthS)
	require.Equal(t, []string{"base", "health", "pool"}, written.Contracts)
	require.Len(t, written.Day, 2*len(allPoints()))
}

func TestDrawSiteNamesWhatIsMissing(t *testing.T) {
	var missing *MissingFigureError
	_, err := drawSite(command{Site: writeSite(t, `length_s = 34.0`), Output: t.TempDir()})
	require.ErrorAs(t, err, &missing)
	require.Equal(t, "tolerate.machines", missing.Figure)

	_, err = drawSite(command{Site: writeSite(t, "[tolerate]\nmachines = 1\n"), Output: t.TempDir()})
	require.ErrorAs(t, err, &missing)
	require.Equal(t, "length_s", missing.Figure)
}

func TestUnknownPointIsRefused(t *testing.T) {
	var unknown *UnknownPointError
	_, err := pointsNamed([]string{"cut", "moon"})
	require.ErrorAs(t, err, &unknown)
	require.Equal(t, "moon", unknown.Name)

	chosen, err := pointsNamed([]string{"servers", "cut"})
	require.NoError(t, err)
	require.Equal(t, []string{"servers", "cut"}, []string{chosen[0].name, chosen[1].name})
}

func TestEntryOmitsFieldsThatItsKindDoesNotTake(t *testing.T) {
	content, err := toml.Marshal(fault{At: 1, Kind: "seed_turnover"})
	require.NoError(t, err)
	require.Equal(t, "at = 1.0\nkind = 'seed_turnover'\n", string(content))
}

// writeSite writes a site file with its companions and returns its path.
func writeSite(t *testing.T, content string) string {
	folder := t.TempDir()
	for name, text := range map[string]string{"small.toml": content, "small.days": "", "CUT": "", "wire.json": "{}"} {
		require.NoError(t, os.WriteFile(filepath.Join(folder, name), []byte(text), 0o600))
	}
	return filepath.Join(folder, "small.toml")
}
