package placement

import "time"

// Tuning of what is learnt of a service's engines.
const (
	// baseLatency is the time to a first event beside reading: way, queue and the first steps. Where it differs, the
	// servers' speeds tell.
	baseLatency = 30 * time.Millisecond
	// initialPerToken is the guess of the time to read a token until answers have told.
	initialPerToken = 26 * time.Microsecond
	// Prompts with few tokens to read are compared with those that have many.
	shortPrompt = 800
	longPrompt  = 1600
	// minComparedAnswers is the number of answers of each kind before they are compared; maxComparisonGap is how long ago
	// the last of each may have come: what waits at the servers shifts both alike only at about the same time.
	minComparedAnswers = 6
	maxComparisonGap   = 10 * time.Second
	// maxMeanCount is the number of answers after which an old one counts for little; minLearnStep is the part of the
	// way to what they show that one answer moves the estimate.
	maxMeanCount = 40
	minLearnStep = 0.05
	// initialComparisons is what the guess is worth in comparisons: the first ones move the estimate by more.
	initialComparisons = 10
	// Bounds of what is learnt.
	minPerToken = time.Microsecond
	maxPerToken = time.Millisecond
)

// engine learns the time that the engines of a service take to read a token of a prompt: by how much later the first
// event of long prompts comes than that of short ones. Waiting for others' requests shifts both alike. Where servers
// differ, their speeds tell.
type prefillEstimator struct {
	perToken    time.Duration
	short, long agedMean
	comparisons int
}

// agedMean holds aged means of answers of one kind.
type agedMean struct {
	count   int
	tokens  float64
	latency float64 // nanoseconds
	lastAt  time.Duration
}

func newPrefillEstimator() prefillEstimator { return prefillEstimator{perToken: initialPerToken} }

// reading is the time to read so many tokens.
func (e *prefillEstimator) duration(tokens int) time.Duration {
	return time.Duration(tokens) * e.perToken
}

// learn takes in how long the first event took of a prompt of which so many tokens were to be read.
func (e *prefillEstimator) learn(now time.Duration, tokens int, latency time.Duration) {
	switch {
	case tokens <= shortPrompt:
		e.short.add(now, tokens, latency)
	case tokens >= longPrompt:
		e.long.add(now, tokens, latency)
	}
	if !e.short.recent(now) || !e.long.recent(now) {
		return
	}
	shown := time.Duration((e.long.latency - e.short.latency) / (e.long.tokens - e.short.tokens))
	shown = min(max(shown, minPerToken), maxPerToken)
	e.comparisons++
	step := max(1/float64(e.comparisons+initialComparisons), minLearnStep)
	e.perToken += time.Duration(step * float64(shown-e.perToken))
}

// add takes in one answer.
func (m *agedMean) add(now time.Duration, tokens int, latency time.Duration) {
	m.count++
	weight := 1 / float64(min(m.count, maxMeanCount))
	m.tokens += weight * (float64(tokens) - m.tokens)
	m.latency += weight * (float64(latency) - m.latency)
	m.lastAt = now
}

// fresh tells whether there are enough answers, the last of them of late.
func (m *agedMean) recent(now time.Duration) bool {
	return m.count >= minComparedAnswers && now-m.lastAt <= maxComparisonGap
}
