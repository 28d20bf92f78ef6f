package proxy

// defaultPriority is what servers go by when they are told none.
const defaultPriority = 5

// prefillSteps are the numbers of prompt tokens from which on a request is less urgent by a step.
var prefillSteps = [...]int{1_000, 2_500, 5_000, 10_000}

// urgency is the Priority that a server is told. It reads the most urgent of the prompts that wait first, and
// one long prompt may cost many short ones behind it their aim, while they cost it little: so prompts are ranked
// by what a server has to read of them, and by their route's priority where that is much the same.
func serverPriority(routePriority, promptTokens, prefillTokens int) int {
	if promptTokens <= 0 {
		return routePriority
	}
	step := 0
	for _, threshold := range prefillSteps {
		if prefillTokens >= threshold {
			step++
		}
	}
	return 2*step + min(max(routePriority, 0), 1)
}
