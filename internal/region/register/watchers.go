package register

import (
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
)

// answerWatchers answers the watches that have events to report in the value at the position, and the watches whose
// wait time is over.
func (p *proposer) answerWatchers(now time.Duration) {
	waiting := p.watchers
	p.watchers = nil
	type answer struct {
		to     *operation
		result *pb.CoordinationResult
	}
	var answers []answer
	for _, watcher := range waiting {
		outcome := p.proposers.execute(p.value, watcher.call, Conditions{})
		switch {
		case !outcome.Wait:
			answers = append(answers, answer{to: watcher, result: outcome.Result})
		case now-watcher.arrived >= time.Duration(watcher.call.GetWatch().GetWaitMs())*time.Millisecond:
			answers = append(answers, answer{to: watcher, result: emptyWatchResult(watcher)})
		default:
			p.watchers = append(p.watchers, watcher)
		}
	}
	for _, next := range answers {
		p.reply(next.to, next.to.result(next.result))
	}
}

// emptyWatchResult returns the result of a watch whose wait time ended without an event.
func emptyWatchResult(watcher *operation) *pb.CoordinationResult {
	return &pb.CoordinationResult{
		Outcome:  pb.CoordinationResult_OUTCOME_OK,
		Revision: watcher.call.GetWatch().GetAfter(),
	}
}

// expireWatchers ends the watches whose wait time is over. It does not confirm the value first, because an empty answer
// says nothing about the value.
func (p *proposer) expireWatchers(now time.Duration) {
	if p.phase == phaseLeading && len(p.watchers) > 0 {
		p.answerWatchers(now)
	}
}
