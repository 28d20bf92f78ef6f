package fleet

import (
	"cmp"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"fieldrelay/internal/peer"
)

// step runs the Core and does what it wants.
func (f *Fleet) step(e Event) {
	for _, a := range f.core.Step(time.Since(f.origin), e) {
		switch a := a.(type) {
		case Transmit:
			f.transmit(a)
		case MemberChanged:
			f.log.Info().Str("member", a.Record.Name).Str("addr", a.Record.Addr).Stringer("state", a.Record.State).Stringer("was", a.Was).
				Uint64("incarnation", a.Record.Incarnation).Bool("new", a.New).Str("by", a.Record.SuspectedBy).Msg("member changed")
		case Save:
			if err := f.voterStore.save(a.Change); err != nil {
				// What was not kept must not be answered for: without its state this process is no voter.
				f.log.Error().Err(err).Msg("voter's state not kept: the fleet is left")
				go f.Abandon()
				return
			}
		case Adopted:
			f.viewNumber.Store(int64(a.View.ID.Number))
			f.viewMembers.Store(int64(len(a.View.Members)))
			f.log.Info().Stringer("view", a.View.ID).Int("members", len(a.View.Members)).Str("sum", fmt.Sprintf("%x", a.View.Sum())).Msg("view adopted")
		case Decided:
			f.log.Info().Stringer("view", a.View.ID).Int("members", len(a.View.Members)).Str("sum", fmt.Sprintf("%x", a.View.Sum())).Msg("view decided")
		case SuspensionsChanged:
			if f.changed != nil {
				f.changed(a.All)
			}
		case DrainingChanged:
			if f.drains != nil {
				f.drains(a.Updates)
			}
		case Avoid:
			f.avoidedNodes.Store(int64(len(a.Nodes)))
			f.avoid(a.Nodes)
		case VerdictLog:
			f.log.Info().Str("node", a.Node).Str("verdict", a.Event).Strs("observers", a.Observers).Dur("for", a.Term).Msg("verdict")
		case QuotaSharesChanged:
			f.limits.updateShares(f.core.Holder())
		case RulesEnforced:
			f.enforceRules(a)
		case RulesLog:
			f.rules.log(f.log, a)
		case Notice:
			level := zerolog.InfoLevel
			if a.Alert {
				level = zerolog.ErrorLevel
			}
			f.log.WithLevel(level).Msg(a.Text)
		case ModeChanged:
			f.mode.Store(int32(a.Mode))
			level := zerolog.InfoLevel
			if a.Mode == Yielded {
				level = zerolog.ErrorLevel
				if f.avoid != nil { // nothing more is decided here
					f.avoid(nil)
				}
			}
			f.log.WithLevel(level).Stringer("mode", a.Mode).Stringer("was", a.Was).Str("why", a.Reason).Msg("fleet mode")
		}
	}
	f.rules.updateFigures(f.core)
	if f.allot != nil {
		f.limits.reportAllotments(f.allot) // also once a lease has run out: nobody says so
	}
	f.wake.Reset(max(0, f.core.Next()-time.Since(f.origin)))
}

func (f *Fleet) transmit(t Transmit) {
	b, err := peer.Encode(t.Frame)
	if err != nil {
		f.log.Error().Err(err).Msg("frame not sent")
		return
	}
	to := cmp.Or(f.settings.Dial[t.To.Name], t.To.Addr)
	if t.Stream || len(b) > peer.MostDatagram {
		f.channel.Stream(to, b)
		return
	}
	if err := f.channel.Datagram(to, b); err != nil {
		f.log.Debug().Err(err).Str("to", to).Msg("datagram not sent")
	}
}
