package proxy

// defaultPriority is the priority that servers assume for requests without a Priority header.
const defaultPriority = 5

// prefillSteps are the thresholds of tokens to prefill. A request is one step less urgent for each threshold that it
// reaches.
var prefillSteps = [...]int{1_000, 2_500, 5_000, 10_000}

// serverPriority returns the value of the Priority header of a request to a server; 0 is the most urgent. A server
// prefills the most urgent of its waiting prompts first. One long prompt may make many short prompts behind it miss
// their latency target, while short prompts delay a long one little. Requests are therefore ordered by the tokens that
// the server has to prefill, and within a step by their route's priority.
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
