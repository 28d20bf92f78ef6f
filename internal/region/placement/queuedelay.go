package placement

import (
	"time"

	"fieldrelay/internal/region/policy"
)

const (
	// lowestRank is the lowest rank for which delays are kept apart. Lower ranks share it.
	lowestRank = 9
	// queueSamples is the number of answers in a row that show a queue. A queue delays each of them, while one that
	// took long by itself is seldom followed by others.
	queueSamples = 4
)

// queueSample is the time that an answered request waited at its server in addition to its own work.
type queueSample struct {
	delay time.Duration
	at    time.Duration // when the answer began
}

// left returns the part of a queue that is left at a later time if nothing has joined it. A sample therefore keeps
// requests from a server no longer than the queue that it showed.
func (s queueSample) left(now time.Duration) time.Duration { return max(s.delay-(now-s.at), 0) }

// rankQueue holds the newest samples of one rank at a server. The zero value shows no queue.
type rankQueue struct {
	samples [queueSamples]queueSample
	next    int // index of the oldest sample
}

// observe records a sample.
func (q *rankQueue) observe(sample queueSample) {
	q.samples[q.next] = sample
	q.next = (q.next + 1) % queueSamples
}

// delay returns the least that is left of the samples.
func (q *rankQueue) delay(now time.Duration) time.Duration {
	least := q.samples[0].left(now)
	for _, sample := range q.samples[1:] {
		least = min(least, sample.left(now))
	}
	return least
}

// shown reports whether each of the samples had a delay, which has perhaps been over since.
func (q *rankQueue) shown() bool {
	for _, sample := range q.samples {
		if sample.delay == 0 {
			return false
		}
	}
	return true
}

// rankQueues holds the queues of a server by rank: requests of higher ranks are started first, so lower ranks wait longer.
type rankQueues [lowestRank + 1]rankQueue

// delayRank returns the index of a request's rank in rankQueues.
func delayRank(request *Request) int { return min(max(request.rank(), 0), lowestRank) }

// observe records that the answer to an attempt begins.
func (q *rankQueues) observe(now time.Duration, a *attempt) {
	q[delayRank(&a.request)].observe(queueSample{delay: max(now-a.sentAt-a.ownLatency, 0), at: now})
}

// delay returns how long a request sent now is expected to wait at the server in addition to its own work: as long as the
// last requests of its rank, or of a higher one, did.
func (q *rankQueues) delay(now time.Duration, request *Request) time.Duration {
	var longest time.Duration
	for i := range delayRank(request) + 1 {
		longest = max(longest, q[i].delay(now))
	}
	return longest
}

// shown reports whether the last answers to the requests of any rank showed a queue.
func (q *rankQueues) shown() bool {
	for i := range q {
		if q[i].shown() {
			return true
		}
	}
	return false
}

// ownLatency returns the time to the first event of a prompt at an idle server that has nothing cached.
func (p *Placer) ownLatency(s *server, q *prompt) time.Duration {
	own := s.service.leastLatency.estimate
	if s.service.servesModel() {
		own = baseLatency + s.service.prefill.duration(q.totalTokens)
	}
	return own + p.extraRoundTrip(s)
}

// queuesEverywhere reports whether a request would wait at each of the candidates for longer than its own work takes. It
// then starts no later if it waits at the proxy, where requests of higher ranks and with less slack go first, and where a
// request whose time runs out costs no server's time. The candidates in the buffers must be those of the request.
func (p *Placer) queuesEverywhere(now time.Duration, request *Request) bool {
	if request.Deadline == 0 || p.off(policy.Admission) {
		return false
	}
	latest := p.latestStart(request)
	for i := range p.buffers.candidates {
		s := p.buffers.candidates[i].server
		delay := p.queueDelay(now, s, request)
		if delay <= p.ownLatency(s, &p.buffers.prompt) && now+delay <= latest {
			return false
		}
	}
	return true
}

// queueDelay returns how long a request sent to a server now is expected to wait in addition to its own work: for the
// queue that the last answers showed, and at least for the prompts that are being sent. Of these a proxy knows its own;
// the other proxies of the region are assumed to send as many.
func (p *Placer) queueDelay(now time.Duration, s *server, request *Request) time.Duration {
	delay := s.queues.delay(now, request)
	if s.service.servesModel() {
		tokens := s.queuedPrefillTokens * max(p.regionProxies, 1)
		delay = max(delay, s.service.prefill.duration(tokens))
	}
	return delay
}

// queuesShown reports whether the last answers of each candidate showed a queue. Late answers then have a known cause,
// which another order of the servers doesn't remedy.
func (p *Placer) queuesShown() bool {
	for i := range p.buffers.candidates {
		if !p.buffers.candidates[i].server.queues.shown() {
			return false
		}
	}
	return true
}
