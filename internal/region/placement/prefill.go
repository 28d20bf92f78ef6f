package placement

import "time"

// Tuning of what is learned about the engines of a service.
const (
	// baseLatency is the time to a first event besides the prefill: network, queue and the engine's first steps. If it
	// differs, the servers' speeds show it.
	baseLatency = 30 * time.Millisecond
	// initialPerToken is the assumed prefill time of a token until answers have been measured.
	initialPerToken = 26 * time.Microsecond
	// Prompts with at most shortPrompt tokens to prefill are compared with those that have at least longPrompt.
	shortPrompt = 800
	longPrompt  = 1600
	// minComparedAnswers is the number of answers of each kind before they are compared; maxComparisonGap is how long ago
	// the last of each may have come: a queue at the servers shifts both alike only at about the same time.
	minComparedAnswers = 6
	maxComparisonGap   = 10 * time.Second
	// maxMeanCount is the number of answers after which an old one counts for little in a mean.
	maxMeanCount = 40
	// minLearnStep is the least fraction of the way to the measured value by which one answer moves the estimate.
	minLearnStep = 0.05
	// initialComparisons is the weight, in comparisons, of the initial value: the first ones move the estimate by more
	// than minLearnStep.
	initialComparisons = 10
	// minPerToken and maxPerToken bound the measured values.
	minPerToken = time.Microsecond
	maxPerToken = time.Millisecond
)

// prefillEstimator estimates the time that the engines of a service take to prefill a token, by how much later the
// first event of long prompts comes than that of short ones. A queue shifts both alike. Differences between servers are
// left to the estimates of their speeds. Where all prompts are short, or all are long, the initial value stays.
type prefillEstimator struct {
	perToken    time.Duration
	short, long movingMean
	comparisons int
}

// movingMean holds aged means of answers of one kind.
type movingMean struct {
	count   int
	tokens  float64
	latency float64 // nanoseconds
	lastAt  time.Duration
}

func newPrefillEstimator() prefillEstimator { return prefillEstimator{perToken: initialPerToken} }

// duration is the time to prefill a number of tokens.
func (e *prefillEstimator) duration(tokens int) time.Duration {
	return time.Duration(tokens) * e.perToken
}

// learn adds the latency of the first event of a prompt with a number of tokens to prefill.
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
	measured := time.Duration((e.long.latency - e.short.latency) / (e.long.tokens - e.short.tokens))
	measured = min(max(measured, minPerToken), maxPerToken)
	e.comparisons++
	step := max(1/float64(e.comparisons+initialComparisons), minLearnStep)
	e.perToken += time.Duration(step * float64(measured-e.perToken))
}

// add adds one answer.
func (m *movingMean) add(now time.Duration, tokens int, latency time.Duration) {
	m.count++
	weight := 1 / float64(min(m.count, maxMeanCount))
	m.tokens += weight * (float64(tokens) - m.tokens)
	m.latency += weight * (float64(latency) - m.latency)
	m.lastAt = now
}

// recent reports whether there are enough answers, and the last of them is not old.
func (m *movingMean) recent(now time.Duration) bool {
	return m.count >= minComparedAnswers && now-m.lastAt <= maxComparisonGap
}
