package soak

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fieldrelay/internal/region/settings"
)

// plantedBounds are the figures of the planted histories.
var plantedBounds = settings.Bounds{
	ContactMS: 4000, ApplyMS: 2500, StretchMS: 6000, RevertSlackMS: 250, EvacuateMS: 5000, AckByMS: 5000, RetainS: 20,
}

// configured is an acknowledged order.
func configured(generation, base int64, at moment, seen table) *order {
	return &order{
		generation: generation, base: base, table: seen, sum: seen.sum(), sentAt: at, answeredAt: at + 10*time.Millisecond,
		result: acknowledged, status: http.StatusOK,
	}
}

// ran is a probe that a server ran; unknown is one that the proxy knew no route for.
func ran(prefix string, service int, at moment) probe {
	return probe{
		edge: "edge-1", prefix: prefix, sentAt: at, arrivedAt: at + time.Millisecond, answeredAt: at + 2*time.Millisecond,
		status: http.StatusOK, service: service, zone: "hall-a",
	}
}

func unknown(prefix string, at moment) probe {
	return probe{edge: "edge-1", prefix: prefix, sentAt: at, answeredAt: at + 2*time.Millisecond, status: http.StatusNotFound, service: -1}
}

// withHead is a probe with a large head; tooLarge is one that the proxy refused for it.
func withHead(own probe, head int64) probe {
	own.head = head
	return own
}

func tooLarge(prefix string, at moment, head int64) probe {
	own := unknown(prefix, at)
	own.status, own.head = http.StatusRequestHeaderFieldsTooLarge, head
	return own
}

func readOf(own *order, at moment) read {
	return read{machine: "core-1", sentAt: at, status: http.StatusOK, generation: own.generation, sum: own.sum}
}

// soundHistory breaks no rule: /a/ moves from service 0 to 1, /b/ is added and /c/ is removed at 10 s.
func soundHistory() *history {
	h := newHistory()
	older := configured(1, 0, time.Second, table{"/a/": 1, "/c/": 1})
	newer := configured(3, 1, 10*time.Second, table{"/a/": 2, "/b/": 4})
	older.maxHeader, newer.maxHeader = headLimits[0], headLimits[2]
	h.orders = []*order{older, newer}
	h.lives = []*life{{machine: "edge-1", role: roleProxy, until: forever}}
	h.probes = []probe{
		ran("/a/", 0, 5*time.Second), ran("/c/", 0, 11*time.Second), ran("/a/", 1, 11500*time.Millisecond),
		unknown("/c/", 12*time.Second), ran("/b/", 2, 13*time.Second), ran("/a/", 1, 20*time.Second),
	}
	h.reads = []read{readOf(older, 11*time.Second), readOf(newer, 20*time.Second), {machine: "core-2", sentAt: 20 * time.Second, status: 503}}
	return h
}

func judged(h *history) []string {
	return newJudge(h, touch{bounds: plantedBounds, controls: 3}).run().broken
}

func TestASoundHistoryBreaksNoRule(t *testing.T) {
	found := newJudge(soundHistory(), touch{bounds: plantedBounds, controls: 3}).run()
	require.Empty(t, found.broken)
	require.Positive(t, found.plain.probes)
	require.Equal(t, 2, found.reads)
}

func TestPlantedFaultsAreFound(t *testing.T) {
	late := 14 * time.Second // after the bound of the change at 10 s
	for name, planted := range map[string]struct {
		rule string
		do   func(h *history)
	}{
		"an old service long after": {"LATE", func(h *history) { h.probes = append(h.probes[:1], ran("/a/", 0, late)) }},
		"a dropped route":           {"LATE", func(h *history) { h.probes = append(h.probes[:1], ran("/c/", 0, late)) }},
		"no added route":            {"LATE", func(h *history) { h.probes = append(h.probes[:1], unknown("/b/", late)) }},
		"an old service in an unstable core": {"LATE", func(h *history) {
			h.troubles = append(h.troubles, &trouble{from: 19 * time.Second, to: 20 * time.Second, core: []string{"core-1"}, unstable: true})
			h.probes = append(h.probes[:1], ran("/a/", 0, 21*time.Second))
		}},
		"back to the old service": {"BACKWARDS", func(h *history) { h.probes = append(h.probes, ran("/a/", 0, 11900*time.Millisecond)) }},
		"a service that never was": {"NEVER", func(h *history) {
			h.probes = append(h.probes, ran("/a/", 3, 20*time.Second))
		}},
		"an invalid one in force": {"NEVER", func(h *history) {
			h.orders = append(h.orders, &order{generation: 5, base: 3, invalid: true, result: refused, status: 400, table: table{"/m/": 1}})
			h.probes = append(h.probes, ran("/m/", 0, 15*time.Second))
		}},
		"a raced-away one in force": {"NEVER", func(h *history) {
			h.orders = append(h.orders, &order{generation: 2, base: 1, sentAt: 17 * time.Second, answeredAt: forever, table: table{"/m/": 1}})
			h.probes = append(h.probes, ran("/m/", 0, 18*time.Second))
		}},
		"an invalid one acknowledged": {"INVALID", func(h *history) { h.orders[1].invalid = true }},
		"two on one base": {"RACE", func(h *history) {
			h.orders = append(h.orders, configured(4, 1, 10*time.Second, table{"/a/": 2, "/b/": 4}))
		}},
		"refused without a cause": {"RACE", func(h *history) {
			h.orders = append(h.orders, &order{generation: 5, base: 3, sentAt: 15 * time.Second, answeredAt: 16 * time.Second, result: refused, status: 412})
		}},
		"an old read": {"READ", func(h *history) { h.reads = append(h.reads, readOf(h.orders[0], late)) }},
		"an old read at the end": {"READ", func(h *history) {
			own := readOf(h.orders[0], 11*time.Second)
			own.last = true
			h.reads = append(h.reads, own)
		}},
		"a read of another content": {"READ", func(h *history) { h.reads[1].sum++ }},
		"a read of a refused one": {"READ", func(h *history) {
			h.orders = append(h.orders, &order{generation: 5, base: 2, result: refused, status: 412, sentAt: 14 * time.Second, answeredAt: 14500 * time.Millisecond})
			h.reads = append(h.reads, read{status: 200, sentAt: 15 * time.Second, generation: 5})
		}},
		"an order without an answer in a calm time": {"ACKS", func(h *history) {
			h.orders = append(h.orders, &order{generation: 5, base: 3, sentAt: 14 * time.Second, answeredAt: forever})
			h.probes = append(h.probes, ran("/a/", 1, 25*time.Second))
		}},
		"a proper request denied": {"DENIED", func(h *history) {
			h.probes = append(h.probes, probe{edge: "edge-1", prefix: "/a/", sentAt: late, status: http.StatusBadRequest, service: -1})
		}},
		"a head denied that the limit in force allows": {"DENIED", func(h *history) {
			h.probes = append(h.probes, tooLarge("/a/", late, headSizes[2]))
		}},
		"a head denied that all limits allow": {"DENIED", func(h *history) {
			h.probes = append(h.probes, tooLarge("/a/", 11*time.Second, headSizes[0]))
		}},
		"a head taken that the limit in force forbids": {"LIMIT", func(h *history) {
			h.orders[1].maxHeader = headLimits[0]
			h.probes = append(h.probes, withHead(ran("/a/", 1, late), headSizes[2]))
		}},
		"an arrival in an evacuated zone": {"EVAC", func(h *history) {
			h.evacuations = append(h.evacuations, &evacuation{zone: "hall-a", begins: true, answeredAt: 14 * time.Second})
		}},
		"a route without service at the end": {"SERVED", func(h *history) {
			h.probes = append(h.probes, probe{edge: "edge-1", prefix: "/a/", sentAt: 21 * time.Second, status: 503, service: -1, last: true})
		}},
		"a process that ended": {"SEEN", func(h *history) { h.fail("edge-1-proxy ended by itself") }},
	} {
		t.Run(name, func(t *testing.T) {
			h := soundHistory()
			planted.do(h)
			broken := judged(h)
			require.NotEmpty(t, broken)
			require.True(t, strings.HasPrefix(broken[0], planted.rule+":"), broken)
		})
	}
}

// Until a change of the limits has to be in force, a head may be handled by either.
func TestHeadsMayBeHandledByEitherLimitDuringAChange(t *testing.T) {
	h := soundHistory()
	h.probes = append(h.probes, tooLarge("/a/", 11*time.Second, headSizes[2]), withHead(ran("/a/", 1, 11600*time.Millisecond), headSizes[2]))
	require.Empty(t, judged(h))
}

// What is old is excused where a machine is out of touch, and nowhere else.
func TestTroublesExcuseTheirMachines(t *testing.T) {
	old := ran("/a/", 0, 14*time.Second)
	at := func(own trouble) []string {
		h := soundHistory()
		own.from, own.to = 11*time.Second, 12*time.Second
		h.troubles = append(h.troubles, &own)
		h.probes = append(h.probes[:1], old)
		return judged(h)
	}
	require.Empty(t, at(trouble{edges: []string{"edge-1"}}))
	require.NotEmpty(t, at(trouble{edges: []string{"edge-2"}}))
	require.Empty(t, at(trouble{core: []string{"core-1"}, unstable: true}), "the bound is stretched")
	require.Empty(t, at(trouble{core: []string{"core-1", "core-2"}, unstable: true}))
}

func TestCountersOfViolationsAreFoundAtAnyDepth(t *testing.T) {
	require.Empty(t, violationsIn("", map[string]any{"violations": 0.0, "acks": 7.0}))
	require.Equal(t, []string{"authority_violations = 1"}, violationsIn("", map[string]any{"authority_violations": 1.0}))
	require.Equal(t, []string{"violations.order = 2"}, violationsIn("", map[string]any{"violations": map[string]any{"order": 2.0}}))
}

// The same seed gives the same troubles; a disk is not lost while another one may still be filled again.
func TestSchedulesComeFromTheirSeeds(t *testing.T) {
	for seed := range uint64(200) {
		drawn := kindsFor(runPlan{applications: seed%2 > 0})
		schedule := scheduleOf(drawn, seed, 0, time.Minute, 3, 4)
		require.Equal(t, schedule, scheduleOf(drawn, seed, 0, time.Minute, 3, 4))
		require.Greater(t, len(schedule), 1)
		wiped := -forever
		for _, one := range schedule {
			if one.kind.does == wipes {
				require.Greater(t, one.at-afterWipe, wiped)
				wiped = one.at + one.lasts
			}
		}
	}
}
