package placement

import (
	"errors"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	pb "fieldrelay/api/fieldrelay/v1"
)

// modelFixture is a fixture for random events, with the state against which the rules are checked: the server list and
// the evacuated zones as last set.
type modelFixture struct {
	*fixture
	evacuated   map[string]bool
	misdirected map[string]bool // servers that answered 421
	open        map[AttemptID]openAttempt
	number      int // of the last server that was added
}

type openAttempt struct {
	decision Decision
	route    string
}

func newModelFixture(t *testing.T) *modelFixture {
	t.Helper()
	return &modelFixture{
		fixture:     newFixture(t, 0, append(westAndEast(), listed(plainService, 1, zoneA), listed(plainService, 2, zoneE))),
		evacuated:   map[string]bool{},
		misdirected: map[string]bool{},
		open:        map[AttemptID]openAttempt{},
		number:      100,
	}
}

// listedNow returns the entry of a server in the current list, or nil if there is none.
func (w *modelFixture) listedNow(id string) *pb.Server {
	i := slices.IndexFunc(w.list, func(s *pb.Server) bool { return s.GetId() == id })
	if i < 0 {
		return nil
	}
	return w.list[i]
}

// mayGetNew reports whether the list and the evacuated zones allow a request of a route to be sent to a server.
func (w *modelFixture) mayGetNew(id, zone, routeName string) bool {
	entry := w.listedNow(id)
	if entry == nil || entry.GetDraining() || w.evacuated[zone] || w.misdirected[id] {
		return false
	}
	return routeName != routeEast || regions[zone] == east
}

func (w *modelFixture) pickRandom(t *rapid.T) {
	routeName := rapid.SampledFrom([]string{routeSummary, routeHelp, routeGreeting, routeEast, routeBalance}).Draw(t, "route")
	request := w.request(routeName, PromptChunk{1, 800}, PromptChunk{uint64(rapid.IntRange(0, 9).Draw(t, "subject")), 5000}, PromptChunk{7, 1000})
	if len(w.list) > 0 && rapid.Bool().Draw(t, "again") {
		request.Excluded = []string{rapid.SampledFrom(w.list).Draw(t, "excluded").GetId()}
	}
	decision, err := w.p.Pick(w.now, request)
	if err != nil {
		var none *NoServerError
		require.ErrorAs(t, err, &none)
		mayReturn := w.now+listInterval <= w.p.latestStart(request)
		require.True(t, none.RetryAfter > 0 || !mayReturn, "the client has time to come back")
		w.requireNone(t, request, none)
		return
	}
	require.True(t, w.mayGetNew(decision.ServerID, decision.Zone, routeName), "%+v", decision)
	require.NotContains(t, request.Excluded, decision.ServerID)
	require.Equal(t, request.Service, w.listedNow(decision.ServerID).GetService())
	require.Positive(t, decision.Expected)
	require.True(t, w.p.StillAllowed(w.now, decision.Attempt))
	w.open[decision.Attempt] = openAttempt{decision: decision, route: routeName}
}

// requireNone checks that no request was rejected while a warm server with capacity could take it.
func (w *modelFixture) requireNone(t *rapid.T, request *Request, none *NoServerError) {
	for _, entry := range w.list {
		known := w.p.servers[entry.GetId()]
		if entry.GetService() != request.Service || known.warmingUp(w.now) || known.openAttempts >= w.p.maxConnections(known.service) {
			continue
		}
		allowed := w.mayGetNew(entry.GetId(), entry.GetZone(), request.Route.Name) &&
			!slices.Contains(request.Excluded, entry.GetId())
		require.False(t, allowed, "server %s could take the request: %v", entry.GetId(), none)
	}
}

// anyOpen draws one of the open attempts, if there are any.
func (w *modelFixture) anyOpen(t *rapid.T) (AttemptID, bool) {
	if len(w.open) == 0 {
		return 0, false
	}
	return rapid.SampledFrom(slices.Sorted(maps.Keys(w.open))).Draw(t, "attempt"), true
}

func (w *modelFixture) recheck(t *rapid.T) {
	id, ok := w.anyOpen(t)
	if !ok {
		return
	}
	attempt := w.open[id]
	if w.p.StillAllowed(w.now, id) {
		require.True(t, w.mayGetNew(attempt.decision.ServerID, attempt.decision.Zone, attempt.route))
	}
}

func (w *modelFixture) start(t *rapid.T) {
	if id, ok := w.anyOpen(t); ok {
		w.p.Started(w.now, id)
	}
}

func (w *modelFixture) finish(t *rapid.T) {
	id, ok := w.anyOpen(t)
	if !ok {
		return
	}
	outcome := Outcome(rapid.IntRange(int(Done), int(NotSent)).Draw(t, "outcome"))
	server := w.open[id].decision.ServerID
	if outcome == Misdirected {
		w.misdirected[server] = true
	}
	w.p.Finished(w.now, id, outcome)
	delete(w.open, id)
	w.p.RequestDone(w.now, w.greeting(1), outcome == Done, time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms"))*time.Millisecond)
}

func (w *modelFixture) changeList(t *rapid.T) {
	w.list = slices.Clone(w.list)
	switch rapid.IntRange(0, 3).Draw(t, "change") {
	case 0:
		w.number++
		zone := rapid.SampledFrom([]string{zoneA, zoneB, zoneE}).Draw(t, "zone")
		made := listed(modelService, w.number, zone)
		made.WarmLeftMs = uint32(rapid.SampledFrom([]int{0, 3000}).Draw(t, "warm"))
		w.list = append(w.list, made)
	case 1:
		if len(w.list) > 0 {
			i := rapid.IntRange(0, len(w.list)-1).Draw(t, "leaves")
			w.list = slices.Delete(w.list, i, i+1)
		}
	default:
		if len(w.list) > 0 {
			i := rapid.IntRange(0, len(w.list)-1).Draw(t, "drains")
			changed := listed(w.list[i].GetService(), 0, w.list[i].GetZone())
			changed.Id, changed.Draining = w.list[i].GetId(), rapid.Bool().Draw(t, "draining")
			w.list[i] = changed
		}
	}
	w.p.SetServers(w.now, w.list, time.Duration(rapid.IntRange(0, 2000).Draw(t, "age"))*time.Millisecond)
}

func (w *modelFixture) evacuate(t *rapid.T) {
	zone := rapid.SampledFrom([]string{zoneA, zoneB, zoneE}).Draw(t, "zone")
	if w.evacuated[zone] {
		delete(w.evacuated, zone)
	} else {
		w.evacuated[zone] = true
	}
	w.p.SetEvacuated(w.now, slices.Sorted(maps.Keys(w.evacuated)))
}

// check compares the counters of the servers with the open attempts.
func (w *modelFixture) check(t *rapid.T) {
	require.Len(t, w.p.attempts, len(w.open))
	open, queued, reserved, unanswered := map[*server]int{}, map[*server]int{}, map[*server]int{}, map[*server]int{}
	for id, a := range w.p.attempts {
		require.Equal(t, id, a.id)
		open[a.server]++
		reserved[a.server] += a.memoryTokens
		if !a.started {
			unanswered[a.server]++
			queued[a.server] += a.prefillTokens
		}
	}
	for _, s := range w.p.servers {
		require.Equal(t, open[s], s.openAttempts, s.id)
		require.Equal(t, queued[s], s.queuedPrefillTokens, s.id)
		require.Equal(t, reserved[s], s.reservedTokens, s.id)
		require.Len(t, s.unanswered, unanswered[s], s.id)
		require.Contains(t, s.service.servers, s)
		require.LessOrEqual(t, s.cachedPrefixes.length, maxCachedPrefixes)
	}
	require.InDelta(t, 0.5, w.p.Slack(), 0.5)
}

func TestRulesAndAccountsHoldUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		w := newModelFixture(t)
		events := map[string]func(*rapid.T){
			"pick":     w.pickRandom,
			"again":    w.pickRandom,
			"look":     w.recheck,
			"start":    w.start,
			"finish":   w.finish,
			"list":     w.changeList,
			"evacuate": w.evacuate,
			"wait": func(t *rapid.T) {
				w.now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "wait")) * time.Millisecond
			},
			"": w.check,
		}
		r.Repeat(events)
	})
}

func TestAPlacerIsDeterministic(t *testing.T) {
	run := func() (picked []string) {
		f := newFixture(t, 0, westAndEast())
		for i := range 200 {
			picked = append(picked, f.serve(f.summary(i%9, i), func(server string) float64 { return 1 + float64(len(server)%3) }))
		}
		return picked
	}
	require.Equal(t, run(), run())
}

func TestErrorsNameTheirSubjects(t *testing.T) {
	require.Contains(t, (&NoServerError{Service: "s", Reason: ReasonWarmingUp}).Error(), "all warming up")
	require.Contains(t, (&TooLateError{Service: "s", WorkLeft: time.Second}).Error(), "1s")
	_, err := ParseChunks("x", nil)
	var unreadable *ChunksError
	require.True(t, errors.As(err, &unreadable))
	require.Contains(t, err.Error(), `"x"`)
}
