package placement

import "time"

// Tuning of what is learnt of a service's engines.
const (
	// engineBase is the time to a first event beside reading: way, queue and the first steps. Where it differs, the
	// servers' speeds tell.
	engineBase = 30 * time.Millisecond
	// firstPerToken is the guess of the time to read a token until answers have told.
	firstPerToken = 26 * time.Microsecond
	// Prompts with few tokens to read are compared with those that have many.
	fewTokens  = 800
	manyTokens = 1600
	// compareAfter is the number of answers of each kind before they are compared; compareWithin is how long ago
	// the last of each may have come: what waits at the servers shifts both alike only at about the same time.
	compareAfter  = 6
	compareWithin = 10 * time.Second
	// engineMemory is the number of answers after which an old one counts for little; learnStep is the part of the
	// way to what they show that one answer moves the estimate.
	engineMemory = 40
	learnStep    = 0.05
	// firstComparisons is what the guess is worth in comparisons: the first ones move the estimate by more.
	firstComparisons = 10
	// Bounds of what is learnt.
	leastPerToken = time.Microsecond
	mostPerToken  = time.Millisecond
)

// engine learns the time that the engines of a service take to read a token of a prompt: by how much later the first
// event of long prompts comes than that of short ones. Waiting for others' requests shifts both alike. Where servers
// differ, their speeds tell.
type engine struct {
	perToken    time.Duration
	few, many   answerMean
	comparisons int
}

// answerMean holds aged means of answers of one kind.
type answerMean struct {
	count   int
	tokens  float64
	latency float64 // nanoseconds
	lastAt  time.Duration
}

func newEngine() engine { return engine{perToken: firstPerToken} }

// reading is the time to read so many tokens.
func (e *engine) reading(tokens int) time.Duration { return time.Duration(tokens) * e.perToken }

// learn takes in how long the first event took of a prompt of which so many tokens were to be read.
func (e *engine) learn(now time.Duration, tokens int, latency time.Duration) {
	switch {
	case tokens <= fewTokens:
		e.few.add(now, tokens, latency)
	case tokens >= manyTokens:
		e.many.add(now, tokens, latency)
	}
	if !e.few.fresh(now) || !e.many.fresh(now) {
		return
	}
	shown := time.Duration((e.many.latency - e.few.latency) / (e.many.tokens - e.few.tokens))
	shown = min(max(shown, leastPerToken), mostPerToken)
	e.comparisons++
	step := max(1/float64(e.comparisons+firstComparisons), learnStep)
	e.perToken += time.Duration(step * float64(shown-e.perToken))
}

// add takes in one answer.
func (m *answerMean) add(now time.Duration, tokens int, latency time.Duration) {
	m.count++
	weight := 1 / float64(min(m.count, engineMemory))
	m.tokens += weight * (float64(tokens) - m.tokens)
	m.latency += weight * (float64(latency) - m.latency)
	m.lastAt = now
}

// fresh tells whether there are enough answers, the last of them of late.
func (m *answerMean) fresh(now time.Duration) bool {
	return m.count >= compareAfter && now-m.lastAt <= compareWithin
}
