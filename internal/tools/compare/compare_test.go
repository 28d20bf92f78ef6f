package main

import (
	"math"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

func TestVariantsAreRead(t *testing.T) {
	variants, err := parseVariants([]string{"all=HEAD", "less=abc123:spill,walk"})
	require.NoError(t, err)
	require.Len(t, variants, 2)
	require.Empty(t, variants[0].off)
	require.Equal(t, "abc123", variants[1].revision)
	require.Equal(t, []string{"spill", "walk"}, variants[1].off)
}

func TestFaultyVariantsAreTold(t *testing.T) {
	for name, texts := range map[string][]string{
		"no revision":         {"all="},
		"no name":             {"=HEAD"},
		"twice the same name": {"all=HEAD", "all=main"},
		"unknown mechanism":   {"all=HEAD:spil"},
	} {
		_, err := parseVariants(texts)
		var faulty *VariantError
		require.True(t, errors.As(err, &faulty), name)
		require.Equal(t, texts[len(texts)-1], faulty.Text, name)
	}
}

// playsOf returns plays of one variant on days "a" and "b" with seeds 1 and 2.
func playsOf(of *variant, scores ...float64) []play {
	var plays []play
	for i, score := range scores {
		plays = append(plays, play{variant: of, pairing: pairing{[]string{"a", "b"}[i/2], uint64(i%2 + 1)}, score: score})
	}
	return plays
}

func TestPlaysArePairedByDayAndSeed(t *testing.T) {
	all, less := &variant{name: "all"}, &variant{name: "less"}
	plays := append(playsOf(all, 0.5, 0.6, 0.7, 0.8), playsOf(less, 0.4, 0.5, 0.6)...)
	rows := compareWithFirst([]*variant{all, less}, plays)
	require.Len(t, rows, 1)
	require.Equal(t, 3, rows[0].pairs, "a play without a counterpart is ignored")
	require.InDelta(t, -0.1, rows[0].mean, 1e-9)
	require.True(t, rows[0].significant())
}

func TestADifferenceWithinTheSpreadIsNotShown(t *testing.T) {
	all, less := &variant{name: "all"}, &variant{name: "less"}
	plays := append(playsOf(all, 0.5, 0.5, 0.5, 0.5), playsOf(less, 0.4, 0.6, 0.45, 0.53)...)
	rows := compareWithFirst([]*variant{all, less}, plays)
	require.False(t, rows[0].significant())
	require.Contains(t, tableOf(rows), "| not significant |")
}

func TestOnePairShowsNothing(t *testing.T) {
	require.False(t, row{pairs: 1, mean: 1}.significant())
	require.False(t, row{pairs: 9}.significant(), "identical scores are not a significant difference")
}

func TestBrokenRulesAreNamedInTheTable(t *testing.T) {
	require.Contains(t, tableOf([]row{{name: "less", broken: []string{"TWICE"}}}), "broken: TWICE")
}

func TestMeanAndSpread(t *testing.T) {
	mean, stdDev := meanAndStdDev([]float64{1, 2, 3})
	require.InDelta(t, 2, mean, 1e-9)
	require.InDelta(t, 1, stdDev, 1e-9)
	mean, stdDev = meanAndStdDev(nil)
	require.Zero(t, mean)
	require.False(t, math.IsNaN(stdDev))
}

func TestThePlotHoldsEveryVariant(t *testing.T) {
	plot := plotOf([]row{{name: "spill", mean: -0.01, pairs: 4, stdDev: 0.002}, {name: "walk"}})
	require.Contains(t, plot, ">spill<")
	require.Contains(t, plot, ">walk<")
}
