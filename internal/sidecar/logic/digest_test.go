package logic

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"fieldrelay/internal/testkit/digesttest"
)

var update = flag.Bool("update", false, "record new digests of the runs")

// The decisions under the random events of a seed are recorded, so that a change that is not meant to change
// behavior is seen to change no decision.
func TestDecisionsHaveTheRecordedDigests(t *testing.T) {
	for seed := range uint64(8) {
		name := fmt.Sprintf("events-%d", seed)
		t.Run(name, func(t *testing.T) {
			digesttest.Compare(t, name, *update, func() *digesttest.Recorder {
				recorder := digesttest.New(time.Second)
				runRandomObserved(t, seed, func(now time.Duration, a Action) { recordAction(t, recorder, now, a) })
				return recorder
			})
		})
	}
}

func recordAction(t *testing.T, recorder *digesttest.Recorder, now time.Duration, a Action) {
	kinds := map[ActionKind]string{
		ActSend: "send", ActCancel: "cancel", ActReject: "refuse", ActFail: "fail", ActWake: "wake",
		ActWatch: "watch", ActCloseIdle: "release", ActLog: "log",
	}
	timers := map[TimerKind]string{
		TimerTarget: "aim", TimerQueued: "held", TimerExpire: "expire", TimerList: "ask", TimerIdle: "idle",
	}
	label, known := kinds[a.Kind]
	timer, knownTimer := timers[a.Timer.Kind]
	if !known || !knownTimer {
		t.Errorf("no digest label for the kind or timer of action %+v", a)
	}
	entry := recorder.Entry(now, label).Number(a.Request).Number(a.Server).Number(uint64(a.Attempt)).Time(a.After).Time(a.At)
	if a.Kind == ActWake {
		entry.Text(timer).Number(a.Timer.ID)
	}
	entry.Text(a.Text)
}
