package shuffle

import "time"

// sample picks neighbours at random, none of them the host except.
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

// pendingExchange is the exchange that waits for its answer.
type pendingExchange struct {
	host string // empty: none
	sent []Neighbour
}

// tick begins an exchange when one is due.
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

// jittered is a random time between 4/5 and 6/5 of a period.
func (v *View) jittered(period time.Duration) time.Duration {
	fifth := int64(period / 5)
	return period - time.Duration(fifth) + time.Duration(v.random.Int64N(2*fifth))
}

// beginExchange takes the oldest neighbour out of the view and sends it a sample.
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

// requested answers another member's exchange and takes in what it told.
func (v *View) answerExchange(now time.Duration, request ExchangeRequested) []Action {
	delete(v.failedUntil, request.From.Host)
	sample := v.sample(ExchangeSize, request.From.Host)
	caller := request.From
	caller.Age = 0
	received := append([]Neighbour{caller}, bounded(request.Sample)...)
	v.merge(now, received, sample)
	return []Action{Answer{Sample: sample}}
}

// answered takes in what the partner of the pending exchange told.
func (v *View) finishExchange(now time.Duration, answer Answered) {
	if answer.From.Host == "" || answer.From.Host != v.pending.host {
		return
	}
	sent := v.pending.sent
	v.pending = pendingExchange{}
	delete(v.failedUntil, answer.From.Host)
	v.merge(now, bounded(answer.Sample), sent)
	if v.hasRoomFor(answer.From) {
		partner := answer.From
		partner.Age = 0
		v.merge(now, []Neighbour{partner}, sent)
	}
	v.refill(now)
}

// bounded cuts a sample to the size that a member may send.
func bounded(sample []Neighbour) []Neighbour {
	return sample[:min(len(sample), ExchangeSize)]
}
