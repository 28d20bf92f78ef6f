package member

import (
	"fmt"
	"testing"
	"time"
)

// When most of a fleet is started at once, all of these processes ask the few seed addresses for the full table. Only maxFullSyncs
// full tables are sent per pace; further requesters get the records of a few members to ask instead.
func TestFullSyncsAreLimitedPerPace(t *testing.T) {
	const pace = time.Second
	m := New(Config{Name: "a", Addr: "a:1", Boot: 1, Pace: pace, Seed: 1}, 0)
	var all []Record
	for i := range 50 {
		all = append(all, Record{Name: fmt.Sprintf("m%d", i), Addr: fmt.Sprintf("m%d:1", i), Boot: 1, Incarnation: 1})
	}
	m.Step(0, Received{From: all[0], Message: Message{Kind: SyncReply, Updates: all}})
	sendSyncs := func(now time.Duration) (whole, partial int) {
		for i := range 20 {
			for _, a := range m.Step(now, Received{From: all[i], Message: Message{Kind: Sync, Seq: uint64(i + 1)}}) {
				s, ok := a.(Send)
				switch {
				case !ok || s.Message.Kind != SyncReply:
				case s.Message.Partial:
					if partial++; len(s.Message.Updates) > referrals+1 || len(s.Message.Updates) < 2 {
						t.Errorf("partial reply with %d records", len(s.Message.Updates))
					}
				default:
					whole++
				}
			}
		}
		return whole, partial
	}
	for i := range 2 {
		if whole, partial := sendSyncs(time.Duration(1+2*i) * pace); whole != maxFullSyncs || partial != 20-maxFullSyncs {
			t.Errorf("pace %d: %d full and %d partial tables for 20 requests", i+1, whole, partial)
		}
	}
}
