package main

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// row compares the scores of a variant with those of the first variant.
type row struct {
	name   string
	pairs  int
	mean   float64 // mean score difference; negative: the variant scores lower
	stdDev float64 // standard deviation of the score differences
	broken []string
}

// significanceThreshold is the number of standard errors from which on a difference counts as significant. It is three
// because a table has about twenty comparisons with the same plays of the first variant.
const significanceThreshold = 3

// significant reports whether the mean difference is at least significanceThreshold standard errors from zero. One pair
// alone, or a mean of exactly zero, is never significant.
func (r row) significant() bool {
	return r.pairs > 1 && r.mean != 0 && math.Abs(r.mean) >= significanceThreshold*r.standardError()
}

// standardError returns the standard error of the mean difference.
func (r row) standardError() float64 { return r.stdDev / math.Sqrt(float64(r.pairs)) }

// compareWithFirst pairs the plays of each variant with those of the first by day and seed.
func compareWithFirst(variants []*variant, plays []play) []row {
	base := map[pairing]float64{}
	for _, one := range plays {
		if one.variant == variants[0] {
			base[one.pairing] = one.score
		}
	}
	var rows []row
	for _, one := range variants[1:] {
		made := row{name: one.name}
		var differences []float64
		for _, played := range plays {
			if played.variant != one {
				continue
			}
			made.broken = append(made.broken, played.broken...)
			if score, paired := base[played.pairing]; paired {
				differences = append(differences, played.score-score)
			}
		}
		made.pairs = len(differences)
		made.mean, made.stdDev = meanAndStdDev(differences)
		slices.Sort(made.broken)
		made.broken = slices.Compact(made.broken)
		rows = append(rows, made)
	}
	return rows
}

// meanAndStdDev returns the mean and the sample standard deviation of the values.
func meanAndStdDev(values []float64) (mean, stdDev float64) {
	if len(values) == 0 {
		return 0, 0
	}
	for _, value := range values {
		mean += value / float64(len(values))
	}
	if len(values) == 1 {
		return mean, 0
	}
	for _, value := range values {
		stdDev += (value - mean) * (value - mean) / float64(len(values)-1)
	}
	return mean, math.Sqrt(stdDev)
}

// tableOf formats rows as a Markdown table.
func tableOf(rows []row) string {
	var text strings.Builder
	text.WriteString("| variant | difference in score | standard deviation | pairs | |\n| --- | --- | --- | --- | --- |\n")
	for _, r := range rows {
		verdict := "not significant"
		if r.significant() {
			verdict = "significant"
		}
		if len(r.broken) > 0 {
			verdict += "; broken: " + strings.Join(r.broken, ", ")
		}
		fmt.Fprintf(&text, "| %s | %+.4f | %.4f | %d | %s |\n", r.name, r.mean, r.stdDev, r.pairs, verdict)
	}
	return text.String()
}

// Dimensions of the plot in pixels.
const (
	plotWidth   = 640
	plotLabels  = 160
	plotRow     = 22
	plotPadding = 20
)

// plotOf draws an SVG plot: a point with error bars of three standard errors for each row, and a vertical line at zero
// difference.
func plotOf(rows []row) string {
	reach := 0.001
	for _, r := range rows {
		reach = max(reach, math.Abs(r.mean)+significanceThreshold*r.standardError())
	}
	half := float64(plotWidth-plotLabels-plotPadding) / 2
	middle := plotLabels + half
	at := func(difference float64) float64 { return middle + difference/reach*half }
	height := len(rows)*plotRow + 2*plotPadding
	var text strings.Builder
	fmt.Fprintf(&text, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`+"\n", plotWidth, height)
	fmt.Fprintf(&text, `<line x1="%.1f" y1="0" x2="%.1f" y2="%d" stroke="grey"/>`+"\n", middle, middle, height-plotPadding)
	for i, r := range rows {
		y := plotPadding + i*plotRow
		margin := significanceThreshold * r.standardError()
		fmt.Fprintf(&text, `<text x="4" y="%d">%s</text><line x1="%.1f" y1="%d" x2="%.1f" y2="%d" stroke="black"/><circle cx="%.1f" cy="%d" r="4"/>`+"\n",
			y+4, r.name, at(r.mean-margin), y, at(r.mean+margin), y, at(r.mean), y)
	}
	fmt.Fprintf(&text, `<text x="%d" y="%d">%+.4f</text><text x="%d" y="%d">%+.4f</text>`+"\n</svg>\n",
		plotLabels, height-4, -reach, plotWidth-plotPadding-50, height-4, reach)
	return text.String()
}
