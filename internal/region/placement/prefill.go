package placement

import "time"

// Constants of the estimate of a service's prefill rate.
const (
	// baseLatency is the assumed time to a first event in addition to the prefill: network, queue and the engine's first
	// steps. A deviation is absorbed by the speed estimates of the servers.
	baseLatency = 30 * time.Millisecond
	// initialPerToken is the prefill time of a token that is assumed before any measurement.
	initialPerToken = 26 * time.Microsecond
	// The estimate compares prompts with at most shortPrompt tokens to prefill with prompts with at least longPrompt.
	shortPrompt = 800
	longPrompt  = 1600
	// minComparedAnswers is the number of answers of each kind that a comparison requires. maxComparisonGap is the
	// maximum age of the last answer of each kind: a queue at the servers delays both kinds equally only at about the
	// same time.
	minComparedAnswers = 6
	maxComparisonGap   = 10 * time.Second
	// maxMeanCount bounds the number of answers in a mean: a new answer has at least the weight 1/maxMeanCount.
	maxMeanCount = 40
	// minLearnStep is the minimum fraction of the difference to the measured value by which one answer moves the
	// estimate.
	minLearnStep = 0.05
	// initialComparisons is the weight of the initial value, expressed as a number of comparisons. The first comparisons
	// move the estimate by more than minLearnStep.
	initialComparisons = 10
	// minPerToken and maxPerToken bound the measured values.
	minPerToken = time.Microsecond
	maxPerToken = time.Millisecond
)

// prefillEstimator estimates the time that the engines of a service take to prefill a token, from the difference between
// the latencies of the first events of long and short prompts. A queue delays both equally. Differences between servers
// are covered by the estimates of their speeds. If all prompts are short, or all are long, the initial value remains.
type prefillEstimator struct {
	perToken    time.Duration
	short, long movingMean
	comparisons int
}

// movingMean holds exponential moving averages over the answers to prompts of one kind, short or long.
type movingMean struct {
	count   int
	tokens  float64
	latency float64 // nanoseconds
	lastAt  time.Duration
}

func newPrefillEstimator() prefillEstimator { return prefillEstimator{perToken: initialPerToken} }

// duration returns the estimated time to prefill a number of tokens.
func (e *prefillEstimator) duration(tokens int) time.Duration {
	return time.Duration(tokens) * e.perToken
}

// learn updates the estimate with the latency of the first event of a prompt with a number of tokens to prefill.
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

// add updates the averages with one answer.
func (m *movingMean) add(now time.Duration, tokens int, latency time.Duration) {
	m.count++
	weight := 1 / float64(min(m.count, maxMeanCount))
	m.tokens += weight * (float64(tokens) - m.tokens)
	m.latency += weight * (float64(latency) - m.latency)
	m.lastAt = now
}

// recent reports whether there are enough answers for a comparison, and the last one is recent enough.
func (m *movingMean) recent(now time.Duration) bool {
	return m.count >= minComparedAnswers && now-m.lastAt <= maxComparisonGap
}
