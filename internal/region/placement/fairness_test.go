package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// queueModel drives a Placer whose only server has no room with random arrivals, ends and departures, and checks each
// decision against the time of the clients and the ranks alone.
type queueModel struct {
	*waitFixture
	waiting map[WaitID]*Request
}

// latestOf returns the latest start of a request of a service whose answers have not been measured.
func latestOf(request *Request) time.Duration { return request.Deadline }

func (m *queueModel) arrive(t *rapid.T) {
	request := m.plain(rapid.IntRange(0, 4).Draw(t, "rank"), time.Duration(rapid.IntRange(-5, 3000).Draw(t, "time left"))*time.Millisecond)
	request.Route.Target = time.Duration(rapid.IntRange(0, 5000).Draw(t, "target")) * time.Millisecond
	m.ended(t, m.p.Advance(m.now))
	placed, displaced, err := m.p.Place(m.now, request)
	require.Nil(t, displaced)
	switch {
	case err != nil:
		require.Greater(t, m.now, latestOf(request), "refused with time left: %v", err)
	case placed.Wait != 0:
		require.Equal(t, latestOf(request), placed.LatestStart)
		m.waiting[placed.Wait] = request
	default:
		require.Empty(t, m.waiting, "it overtook those that wait")
		m.running = append(m.running, placed.Decision.Attempt)
	}
}

// ended checks the ends of waits.
func (m *queueModel) ended(t *rapid.T, assignments []Assignment) {
	for _, assignment := range assignments {
		request := m.waiting[assignment.Wait]
		require.NotNil(t, request)
		delete(m.waiting, assignment.Wait)
		if assignment.Err != nil {
			require.Greater(t, m.now, latestOf(request), "refused with time left: %v", assignment.Err)
			continue
		}
		require.LessOrEqual(t, m.now, latestOf(request), "started too late")
		m.running = append(m.running, assignment.Decision.Attempt)
		for _, other := range m.waiting {
			if latestOf(other) < m.now {
				continue // its time is over
			}
			require.GreaterOrEqual(t, other.rank(), request.rank(), "a higher rank waits on")
			if other.rank() == request.rank() {
				require.GreaterOrEqual(t, latestOf(other), latestOf(request), "one with less slack waits on")
			}
		}
	}
}

func (m *queueModel) finish(t *rapid.T) {
	if len(m.running) == 0 {
		return
	}
	m.free()
	m.ended(t, m.p.Advance(m.now))
}

func (m *queueModel) leave(t *rapid.T) {
	for id := range m.waiting {
		withdrawn, reason := m.p.Withdraw(id)
		require.True(t, withdrawn)
		require.Error(t, reason)
		delete(m.waiting, id)
		return
	}
}

func (m *queueModel) check(t *rapid.T) {
	require.Equal(t, len(m.waiting), m.p.Waiting())
	if at, ok := m.p.NextCheck(); ok {
		require.Positive(t, at)
	} else {
		require.Empty(t, m.waiting)
	}
}

// Whatever the targets, deadlines, ranks and loads: nobody is refused who still has time, nobody is started without, no
// lower rank is started while a higher one could be, and within a rank the least slack goes first.
func TestWaitingRequestsAreServedByTimeAndRankAlone(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		m := &queueModel{waitFixture: newWaitFixture(t), waiting: map[WaitID]*Request{}}
		r.Repeat(map[string]func(*rapid.T){
			"arrive": m.arrive,
			"again":  m.arrive,
			"finish": m.finish,
			"leave":  m.leave,
			"pass": func(t *rapid.T) {
				m.now += time.Duration(rapid.IntRange(0, 400).Draw(t, "time")) * time.Millisecond
				m.ended(t, m.p.Advance(m.now))
			},
			"": m.check,
		})
	})
}
