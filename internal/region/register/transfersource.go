package register

import (
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
)

// Times after which a request for registers that was not answered is sent again. The time doubles with each request,
// since an answer may take long on a slow link or a busy machine, and another answer would delay it further.
const (
	// firstTransferInterval is the time after the first request to a voter, whose answer is small.
	firstTransferInterval = 150 * time.Millisecond
	// nextTransferInterval is the time after each later request.
	nextTransferInterval = 600 * time.Millisecond
	// maxTransferDoublings is the maximum number of times that these are doubled.
	maxTransferDoublings = 2
	maxTransferInterval  = nextTransferInterval << maxTransferDoublings
)

// transferSource is a voter from which this machine collects registers.
type transferSource struct {
	voter *pb.Replica
	// after is the name up to which the registers of the voter have been received.
	after       string
	complete    bool   // all registers of the voter have been received
	hasAnswered bool   // at least one answer has been received
	activeEpoch uint64 // epoch whose registers the voter holds, according to its answers
	requestedAt time.Duration
	unanswered  int // number of requests since the last answer
}

// requested records that a request was sent.
func (s *transferSource) requested(now time.Duration) {
	s.requestedAt = now
	s.unanswered++
}

// isDue reports whether a request may be sent: none is open, or the last one was not answered in time.
func (s *transferSource) isDue(now time.Duration) bool {
	if s.unanswered == 0 {
		return true
	}
	interval := firstTransferInterval
	if s.hasAnswered {
		interval = nextTransferInterval
	}
	interval <<= min(s.unanswered-1, maxTransferDoublings)
	return now-s.requestedAt >= interval
}

// isBetterThan reports whether this source should be read rather than another one.
func (s *transferSource) isBetterThan(other *transferSource, epoch uint64) bool {
	const tolerated = 1 // requests that may be open
	isLate, isOtherLate := s.unanswered > tolerated, other.unanswered > tolerated
	if isLate != isOtherLate {
		return !isLate
	}
	isActive, isOtherActive := s.activeEpoch == epoch, other.activeEpoch == epoch
	return isActive && !isOtherActive
}

// received records an answer. A voter that has activated the epoch between two answers is read again from the start,
// because the registers that it holds for the epoch are complete by themselves.
func (s *transferSource) received(answer *pb.RegisterTransfer, epoch uint64) {
	hasActivated := s.hasAnswered && s.activeEpoch != epoch && answer.GetActiveEpoch() == epoch
	s.hasAnswered = true
	s.unanswered = 0
	s.activeEpoch = answer.GetActiveEpoch()
	switch {
	case hasActivated:
		s.after = ""
	case answer.GetPartial():
		s.after = answer.GetThrough()
	default:
		s.complete = true
	}
}
