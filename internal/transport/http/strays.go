package http

import "sync/atomic"

// quietEnough is how many connections have to rest to the end of Settle, without a byte that nobody asked for, before it is
// taken that no node sends any. A node that sends a second copy behind one answer in a hundred is seen by then, but for one
// time in thirty thousand.
const quietEnough = 1024

// mostUnrested is how many answers in a row a connection brings without a rest while no node has sent a stray byte. It goes
// on being looked at so whether that holds; and where an answer was taken for that of the claim behind it, this ends there.
const mostUnrested = 256

// strays is what is known of bytes that nodes send and nobody asked for: a second copy of an answer, or noise. Any goroutine
// may use it.
type strays struct {
	seen  atomic.Bool
	quiet atomic.Int64 // rests without any
}

// saw takes in that some have come. It is not forgotten: a server that once sends them may do so at any time.
func (s *strays) saw() { s.seen.Store(true) }

// sawNone takes in that a connection has rested and brought none.
func (s *strays) sawNone() {
	if s.quiet.Load() < quietEnough {
		s.quiet.Add(1)
	}
}

// never tells whether no node has ever sent any, though there was time enough for it to be seen.
func (s *strays) never() bool { return !s.seen.Load() && s.quiet.Load() >= quietEnough }
