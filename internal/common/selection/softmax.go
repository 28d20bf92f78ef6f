package selection

import "math"

// Softmax picks an index of speeds with probability proportional to exp((speed/best)/tau), or uniformly if no
// speed is above 0. It overwrites speeds, which must not be empty. draw must be uniform in [0, 1).
func Softmax(speeds []float64, tau, draw float64) int {
	if !Weigh(speeds, tau) {
		return int(draw * float64(len(speeds)))
	}
	return Draw(speeds, draw)
}

// Weigh replaces each speed by its weight, exp((speed/best)/tau). If no speed is above 0, it leaves the
// speeds unchanged and returns false: the caller must pick uniformly. A caller may scale the weights before
// it passes them to Draw.
func Weigh(speeds []float64, tau float64) bool {
	best := 0.0
	for _, speed := range speeds {
		best = max(best, speed)
	}
	if best <= 0 {
		return false
	}
	for i, speed := range speeds {
		speeds[i] = math.Exp(speed / best / tau)
	}
	return true
}

// Draw picks an index with probability proportional to its weight. draw must be uniform in [0, 1).
func Draw(weights []float64, draw float64) int {
	total := 0.0
	for _, weight := range weights {
		total += weight
	}
	remaining := draw * total
	for i, weight := range weights {
		if remaining -= weight; remaining < 0 {
			return i
		}
	}
	return len(weights) - 1 // rounding may leave a remainder after the last weight
}
