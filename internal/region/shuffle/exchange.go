package shuffle

import "time"

// pendingExchange is an exchange that this member initiated and that has not been answered. The zero value means that
// no exchange is pending.
type pendingExchange struct {
	host string      // host of the partner
	sent []Neighbour // sample sent to the partner
}

// tick initiates an exchange if one is due.
func (v *View) tick(now time.Duration) []Action {
	if !v.started {
		v.started = true
		v.nextExchangeAt = now + time.Duration(v.random.Int64N(int64(ExchangeInterval)))
	}
	if now < v.nextExchangeAt {
		return nil
	}
	v.nextExchangeAt = now + v.jittered(ExchangeInterval)
	v.expireFailures(now)
	v.refill(now)
	return v.beginExchange()
}

// jittered returns a random time between 4/5 and 6/5 of interval.
func (v *View) jittered(interval time.Duration) time.Duration {
	fifth := int64(interval / 5)
	return interval - time.Duration(fifth) + time.Duration(v.random.Int64N(2*fifth))
}

// beginExchange increments the age of all neighbours, removes the oldest neighbour from the view and sends it a sample.
// The slot of that partner stays free until the partner answers, so that a failed partner leaves the view without
// further action.
func (v *View) beginExchange() []Action {
	if len(v.neighbours) == 0 {
		return nil
	}
	oldest := 0
	for i := range v.neighbours {
		v.neighbours[i].Age++
		if v.neighbours[i].Age > v.neighbours[oldest].Age {
			oldest = i
		}
	}
	partner := v.neighbours[oldest]
	v.remove(oldest)
	sample := v.sample(ExchangeSize-1, partner.Host)
	v.pending = pendingExchange{host: partner.Host, sent: sample}
	return []Action{Exchange{To: partner, From: v.self, Sample: sample}}
}

// answerExchange answers another member's exchange with a sample, and merges that member and its sample into the
// view.
func (v *View) answerExchange(now time.Duration, request ExchangeRequested) []Action {
	delete(v.failedUntil, request.From.Host)
	sample := v.sample(ExchangeSize, request.From.Host)
	caller := request.From
	caller.Age = 0
	received := append([]Neighbour{caller}, bounded(request.Sample)...)
	v.merge(now, received, sample)
	return []Action{ExchangeReply{Sample: sample}}
}

// finishExchange merges the sample from the partner of the pending exchange. Unlike in Cyclon, the partner stays a
// neighbour if there is a slot for it. Answers from other members are ignored.
func (v *View) finishExchange(now time.Duration, answer ExchangeAnswered) {
	if answer.From.Host == "" || answer.From.Host != v.pending.host {
		return
	}
	sent := v.pending.sent
	v.pending = pendingExchange{}
	delete(v.failedUntil, answer.From.Host)
	v.merge(now, bounded(answer.Sample), sent)
	if v.hasSlotFor(answer.From) {
		partner := answer.From
		partner.Age = 0
		v.merge(now, []Neighbour{partner}, sent)
	}
	v.refill(now)
}

// sample returns up to size random neighbours, excluding the host except.
func (v *View) sample(size int, except string) []Neighbour {
	sample := make([]Neighbour, 0, size)
	for _, i := range v.random.Perm(len(v.neighbours)) {
		if len(sample) == size {
			break
		}
		if v.neighbours[i].Host != except {
			sample = append(sample, v.neighbours[i])
		}
	}
	return sample
}

// bounded truncates a received sample to the size that a member may send.
func bounded(sample []Neighbour) []Neighbour {
	return sample[:min(len(sample), ExchangeSize)]
}
