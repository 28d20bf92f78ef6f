package soak

import (
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Environment variables of the long form.
const (
	seedsVariable   = "SOAK_SEEDS"   // how many seeds
	firstVariable   = "SOAK_FIRST"   // the first of them
	secondsVariable = "SOAK_SECONDS" // how long troubles begin in each run
	keepVariable    = "SOAK_KEEP"    // folder for what runs leave, also good ones; it has to exist
)

// The short form, and the calm end of all runs: contact-ms and apply-ms pass, and some time in touch.
const (
	shortSeeds    = 2
	shortTroubled = 9 * time.Second
	calmEnd       = 8 * time.Second
	largeRoutes   = 1200
	// applicationSeed is the seed of the short form whose run has applications.
	applicationSeed = 1
	// Every largestOf-th seed of the long form has the most machines.
	largestOf           = 10
	mostControlMachines = 7
	mostEdgeMachines    = 20
	mostTold            = 20 // broken rules of a run that the test prints; the report has all
)

func numberOf(t *testing.T, variable string, otherwise int) int {
	text := os.Getenv(variable)
	if text == "" {
		return otherwise
	}
	number, err := strconv.Atoi(text)
	require.NoError(t, err, variable)
	return number
}

// Seeds differ in size in the long form: 3 to 5 control machines, 4 to 8 edge machines, few routes or many; every
// largestOf-th has as many processes as the machine bears. The values of every other one are large.
func planOf(seed uint64, seconds int) runPlan {
	plan := runPlan{seed: seed, controls: 3, edges: 3, routes: fewRoutes, troubled: shortTroubled, calm: calmEnd}
	plan.applications = seconds > 0 || seed == applicationSeed
	plan.largeValues = seed == applicationSeed
	if seconds > 0 {
		plan.troubled = time.Duration(seconds) * time.Second
		plan.controls = 3 + int(seed%3)
		plan.edges = 4 + int(seed%5)
		plan.routes = fewRoutes + largeRoutes*int(seed/3%2)
		plan.largeValues = seed%2 == 1
		if seed%largestOf == 0 {
			plan.controls, plan.edges = mostControlMachines, mostEdgeMachines
		}
	}
	return plan
}

func TestTheSystemKeepsItsConfigurationInForce(t *testing.T) {
	if testing.Short() {
		t.Skip("starts many processes")
	}
	seconds := numberOf(t, secondsVariable, 0)
	first := uint64(numberOf(t, firstVariable, 1))
	for number := range numberOf(t, seedsVariable, shortSeeds) {
		seed := first + uint64(number)
		t.Run("seed "+strconv.FormatUint(seed, 10), func(t *testing.T) {
			if seconds == 0 {
				t.Parallel()
			}
			playSeed(t, planOf(seed, seconds))
		})
	}
}

// playSeed plays one run; what a bad one left is kept.
func playSeed(t *testing.T, plan runPlan) {
	folder, err := os.MkdirTemp(os.Getenv(keepVariable), "soak-"+strconv.FormatUint(plan.seed, 10)+"-")
	require.NoError(t, err)
	found, err := run(t.Context(), plan, folder)
	t.Logf("seed %d: %s", plan.seed, found.summary())
	if err == nil && len(found.broken) == 0 && os.Getenv(keepVariable) == "" {
		require.NoError(t, os.RemoveAll(folder))
		return
	}
	t.Logf("seed %d is kept in %s", plan.seed, folder)
	require.NoError(t, err)
	for _, broken := range found.broken[:min(len(found.broken), mostTold)] {
		t.Error(broken)
	}
}
