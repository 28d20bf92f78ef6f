package coordination

import (
	"time"

	pb "fieldrelay/api/fieldrelay/v1"
)

// Now implements callers.Environment.
func (s *simulation) Now() time.Duration { return s.now }

// After implements callers.Environment.
func (s *simulation) After(delay time.Duration, action func()) { s.after(delay, action) }

// Submit implements callers.Environment.
func (s *simulation) Submit(turn int, call *pb.CoordinationCall, answer func(*pb.CoordinationResult)) func() {
	isCanceled := false
	cancel := func() {}
	target := s.machines[turn%len(s.machines)]
	s.after(s.between(1, 5), func() {
		if !target.running {
			answer(nil)
			return
		}
		target.handle(func() {
			if !isCanceled {
				cancel = target.submit(call, func(result *pb.CoordinationResult) { s.sendAnswer(result, answer) })
			}
		})
	})
	return func() {
		isCanceled = true
		cancel()
	}
}

// sendAnswer returns a result to the caller, occasionally with a long delay.
func (s *simulation) sendAnswer(result *pb.CoordinationResult, answer func(*pb.CoordinationResult)) {
	delay := s.between(1, 5)
	if s.chance(s.network.slowShare) {
		delay = s.between(5, 1500)
	}
	s.after(delay, func() { answer(result) })
}
