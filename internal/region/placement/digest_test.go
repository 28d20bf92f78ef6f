package placement

import (
	"errors"
	"flag"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"fieldrelay/internal/testkit/digesttest"
)

var update = flag.Bool("update", false, "record the digests of the runs")

// A change that does not intend to change the behaviour must not change any pick, any rejection, or the values that they
// return.
func TestSimulatedLoadsHaveTheRecordedDigests(t *testing.T) {
	days := map[string]struct {
		proxies, servers int
		times            float64
		announcements    bool
		disturb          func(s *sim)
	}{
		"busy":     {proxies: 7, servers: 10, times: 2},
		"one-slow": {proxies: 7, servers: 10, times: 2, disturb: func(s *sim) { s.disturb(3*time.Second, 1, 4) }},
		"two-down": {proxies: 7, servers: 10, times: 1, announcements: true, disturb: func(s *sim) { s.disturb(3*time.Second, 2, 0) }},
		"too-much": {proxies: 7, servers: 10, times: 6},
	}
	for name, day := range days {
		t.Run(name, func(t *testing.T) {
			digesttest.Compare(t, name, *update, func() *digesttest.Recorder {
				recorder := digesttest.New(time.Second)
				s := newSim(t, 1, day.proxies, day.servers)
				s.announcements = day.announcements
				s.watch = simWatch{
					rejected: func(now time.Duration, proxy int, err error) { recordRejection(t, recorder, now, proxy, err) },
					picked:   func(now time.Duration, proxy int, to Decision) { recordPick(recorder, now, proxy, to) },
					ended: func(now time.Duration, to Decision, label string) {
						recorder.Entry(now, label).Number(uint64(to.Attempt)).Text(to.ServerID)
					},
				}
				for _, kind := range simKinds {
					s.load(kind, day.times, 12*time.Second)
				}
				if day.disturb != nil {
					day.disturb(s)
				}
				s.run()
				for _, p := range s.placers {
					recorder.Entry(time.Hour, "slack").Float(p.Slack())
				}
				return recorder
			})
		})
	}
}

func recordPick(recorder *digesttest.Recorder, now time.Duration, proxy int, to Decision) {
	recorder.Entry(now, "pick").Number(uint64(proxy)).Number(uint64(to.Attempt)).Text(to.ServerID).Text(to.Address).
		Text(to.Zone).Text(to.Region).Time(to.Expected).Number(uint64(to.PrefillTokens)).Number(uint64(to.MaxConnections)).
		Number(uint64(to.Announce.Server)).Number(uint64(to.Announce.Prompt)).Number(uint64(to.Announce.Tokens))
}

func recordRejection(t *testing.T, recorder *digesttest.Recorder, now time.Duration, proxy int, err error) {
	var none *NoServerError
	switch {
	case errors.As(err, &none):
		recorder.Entry(now, "none:"+reasonLabel(none.Reason)).Number(uint64(proxy)).Text(none.Service).Time(none.RetryAfter)
	default:
		t.Errorf("recordRejection got an error of an unknown type: %v", err)
	}
}

func reasonLabel(reason Reason) string {
	switch reason {
	case ReasonNoServer:
		return "none"
	case ReasonEvacuated:
		return "evacuated"
	case ReasonHomeRegions:
		return "home"
	case ReasonExcluded:
		return "excluded"
	case ReasonWarmingUp:
		return "cold"
	case ReasonFull:
		return "full"
	}
	return "unknown"
}

// The events are those of TestRulesAndAccountsHoldUnderRandomEvents, drawn from a seed: all outcomes, servers that are
// added, removed or draining, and zones that are evacuated.
func TestPicksUnderSeededEventsHaveTheRecordedDigests(t *testing.T) {
	digesttest.Compare(t, "events", *update, func() *digesttest.Recorder {
		recorder := digesttest.New(10 * time.Second)
		for seed := range uint64(4) {
			runSeededEvents(t, recorder, rand.New(rand.NewPCG(seed, 5)))
		}
		return recorder
	})
}

func runSeededEvents(t *testing.T, recorder *digesttest.Recorder, random *rand.Rand) {
	w := newModelFixture(t)
	var open []AttemptID
	zones := []string{zoneA, zoneB, zoneE}
	outcomes := []Outcome{Rejected, Rejected, Failed, Reset, TimedOut, Unreachable, Canceled, NotSent}
	for range 6000 {
		w.now += time.Duration(random.IntN(50_000)) * time.Microsecond
		switch draw := random.IntN(40); {
		case draw < 16:
			if id, picked := w.pickSeeded(t, recorder, random); picked {
				open = append(open, id)
			}
		case draw < 35 && len(open) > 0:
			i := random.IntN(len(open))
			if draw < 25 {
				w.p.Started(w.now, open[i])
				continue
			}
			recorder.Entry(w.now, "look").Flag(w.p.StillAllowed(w.now, open[i]))
			outcome := Done
			if random.IntN(200) == 0 {
				outcome = Misdirected
			} else if random.IntN(3) == 0 {
				outcome = outcomes[random.IntN(len(outcomes))]
			}
			w.p.Finished(w.now, open[i], outcome)
			w.p.RequestDone(w.now, w.greeting(1), outcome == Done, time.Duration(random.IntN(1000))*time.Millisecond)
			open = slices.Delete(open, i, i+1)
		case draw == 35:
			w.changeSeeded(random)
		case draw == 36 && random.IntN(4) == 0:
			w.p.SetEvacuated(w.now, zones[:random.IntN(2)])
		}
	}
	recorder.Entry(w.now, "slack").Float(w.p.Slack())
}

func (w *modelFixture) pickSeeded(t *testing.T, recorder *digesttest.Recorder, random *rand.Rand) (AttemptID, bool) {
	routes := []string{routeSummary, routeHelp, routeGreeting, routeEast, routeBalance}
	request := w.request(routes[random.IntN(len(routes))], PromptChunk{1, 800}, PromptChunk{uint64(random.IntN(10)), 5000}, PromptChunk{7, 1000})
	if len(w.list) > 0 && random.IntN(3) == 0 {
		request.Excluded = []string{w.list[random.IntN(len(w.list))].GetId()}
	}
	decision, err := w.p.Pick(w.now, request)
	if err != nil {
		recordRejection(t, recorder, w.now, 0, err)
		return 0, false
	}
	recordPick(recorder, w.now, 0, decision)
	return decision.Attempt, true
}

// changeSeeded adds or removes a server, or changes whether one is draining.
func (w *modelFixture) changeSeeded(random *rand.Rand) {
	w.list = slices.Clone(w.list)
	draw := random.IntN(5)
	switch {
	case draw < 2 || len(w.list) < 9:
		w.number++
		made := listed(modelService, w.number, []string{zoneA, zoneB, zoneE}[random.IntN(3)])
		made.WarmLeftMs = uint32(random.IntN(2) * 3000)
		w.list = append(w.list, made)
	case draw == 2:
		i := random.IntN(len(w.list))
		w.list = slices.Delete(w.list, i, i+1)
	default:
		i := random.IntN(len(w.list))
		changed := listed(w.list[i].GetService(), 0, w.list[i].GetZone())
		changed.Id, changed.Draining = w.list[i].GetId(), random.IntN(2) == 0
		w.list[i] = changed
	}
	w.p.SetServers(w.now, w.list, time.Duration(random.IntN(2000))*time.Millisecond)
}
