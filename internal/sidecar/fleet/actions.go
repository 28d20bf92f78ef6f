package fleet

import (
	"cmp"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"fieldrelay/internal/sidecar/peer"
	"fieldrelay/internal/sidecar/view"
)

// step steps the Core and carries out its actions. It runs on the actor's goroutine.
func (f *Fleet) step(event Event) {
	for _, action := range f.core.Step(time.Since(f.origin), event) {
		if save, ok := action.(Save); ok {
			if err := f.voterStore.save(save.Change); err != nil {
				// A voter must not act on state that it has not stored, so this process stops voting.
				f.log.Error().Err(err).Msg("voter's state not stored: leaving the fleet")
				go f.Abandon()
				return
			}
			continue
		}
		f.carryOut(action)
	}
	f.rules.updateFigures(f.core)
	if f.allotmentChanged != nil {
		f.limits.reportAllotments(f.allotmentChanged) // at each step, since the expiry of a lease emits no action
	}
	f.wake.Reset(max(0, f.core.Next()-time.Since(f.origin)))
}

// carryOut carries out an action other than Save.
func (f *Fleet) carryOut(action Action) {
	switch a := action.(type) {
	case Transmit:
		f.transmit(a)
	case SuspensionsChanged:
		if f.suspensionsChanged != nil {
			f.suspensionsChanged(a.All)
		}
	case DrainingChanged:
		if f.drainingChanged != nil {
			f.drainingChanged(a.Updates)
		}
	case Avoid:
		f.avoidedNodes.Store(int64(len(a.Nodes)))
		f.avoid(a.Nodes)
	case QuotaSharesChanged:
		f.limits.updateShares(f.core.Holder())
	case RulesEnforced:
		f.enforceRules(a)
	case Adopted:
		f.viewNumber.Store(int64(a.View.ID.Number))
		f.viewMembers.Store(int64(len(a.View.Members)))
		f.logView(a.View, "view adopted")
	case ModeChanged:
		f.mode.Store(int32(a.Mode))
		if a.Mode == Yielded && f.avoid != nil { // this process no longer evaluates verdicts
			f.avoid(nil)
		}
		f.logAction(action)
	default:
		f.logAction(action)
	}
}

// logAction logs an action that has a log line.
func (f *Fleet) logAction(action Action) {
	switch a := action.(type) {
	case MemberChanged:
		f.log.Info().Str("member", a.Record.Name).Str("addr", a.Record.Addr).Stringer("state", a.Record.State).Stringer("was", a.Was).
			Uint64("incarnation", a.Record.Incarnation).Bool("new", a.New).Str("suspected_by", a.Record.SuspectedBy).Msg("member changed")
	case Decided:
		f.logView(a.View, "view decided")
	case VerdictLog:
		f.log.Info().Str("node", a.Node).Str("verdict", a.Event).Strs("observers", a.Observers).Dur("duration", a.Term).Msg("verdict")
	case RulesLog:
		f.log.WithLevel(levelOf(a.Alert)).Str("rules", a.Text).Msg("rules")
	case Notice:
		f.log.WithLevel(levelOf(a.Alert)).Msg(a.Text)
	case ModeChanged:
		f.log.WithLevel(levelOf(a.Mode == Yielded)).Stringer("mode", a.Mode).Stringer("was", a.Was).Str("reason", a.Reason).Msg("fleet mode")
	}
}

// logView logs a view with a message.
func (f *Fleet) logView(v view.View, message string) {
	f.log.Info().Stringer("view", v.ID).Int("members", len(v.Members)).Str("sum", fmt.Sprintf("%x", v.Sum())).Msg(message)
}

// levelOf returns the level of a log line: error if it requires action by the operator.
func levelOf(alert bool) zerolog.Level {
	if alert {
		return zerolog.ErrorLevel
	}
	return zerolog.InfoLevel
}

// transmit sends a frame, over a stream if the action says so or if the frame does not fit a datagram.
func (f *Fleet) transmit(t Transmit) {
	b, err := peer.Encode(t.Frame)
	if err != nil {
		f.log.Error().Err(err).Msg("frame not sent")
		return
	}
	to := cmp.Or(f.settings.Dial[t.To.Name], t.To.Addr)
	if t.Stream || len(b) > peer.MaxDatagram {
		f.channel.Stream(to, b)
		return
	}
	if err := f.channel.Datagram(to, b); err != nil {
		f.log.Debug().Err(err).Str("to", to).Msg("datagram not sent")
	}
}
