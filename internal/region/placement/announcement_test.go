package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fieldrelay/internal/region/policy"
)

func TestALongPrefillIsAnnouncedAndAShortOneIsNot(t *testing.T) {
	f := newFixture(t, 0, append(westAndEast(), listed(plainService, 90, zoneA)))
	long := f.pick(f.summary(1, 1)).Announce
	require.Equal(t, 9190, long.Tokens, "no announcement says that the shared chunks are cached")
	require.NotZero(t, long.Prompt)
	require.Zero(t, f.pick(f.greeting(1)).Announce)
	require.Zero(t, f.pick(f.request(routeBalance)).Announce)
}

func TestAnAnnouncedPrefixIsTakenAsCached(t *testing.T) {
	first, second := newFixture(t, 0, westAndEast()), newFixture(t, 1, westAndEast())
	announcement := first.pick(first.summary(1, 1)).Announce
	second.p.AnnouncementReceived(second.now, announcement)
	second.now += 10 * time.Second
	later := second.pick(second.summary(1, 2))
	require.Equal(t, announcement.Server, serverKey(later.ServerID), "both proxies choose the same affinity server")
	require.Equal(t, 2890, later.Announce.Tokens, "only the last chunk is to be prefilled")
}

func TestAServerBusyWithAnAnnouncedPrefillIsAvoided(t *testing.T) {
	f := newFixture(t, 0, westAndEast())
	f.warm()
	affinityServer := f.serve(f.summary(1, 1), asPredicted)
	f.now += 20 * time.Second
	require.Equal(t, affinityServer, f.pick(f.summary(1, 2)).ServerID)
	f.now += 20 * time.Second
	f.p.AnnouncementReceived(f.now, Announcement{Server: serverKey(affinityServer), Prompt: 7, Tokens: 60_000})
	require.NotEqual(t, affinityServer, f.pick(f.greeting(9999)).ServerID)
	other := f.pick(f.summary(1, 3))
	require.NotEqual(t, affinityServer, other.ServerID)
	f.now += maxBusyTime
	require.Zero(t, f.p.servers[affinityServer].busy(f.now), "the server is avoided for at most maxBusyTime")
}

func TestAnnouncementsAreBounded(t *testing.T) {
	f := newFixture(t, 0, westAndEast())
	id := f.list[0].GetId()
	for i := range 3 * maxAnnouncedPrefixes {
		f.p.AnnouncementReceived(f.now, Announcement{Server: serverKey(id), Prompt: uint32(i), Tokens: 1 << 30})
		require.LessOrEqual(t, len(f.p.announcedPrefixes), maxAnnouncedPrefixes)
	}
	require.LessOrEqual(t, f.p.servers[id].busy(f.now), maxBusyTime)
	f.p.AnnouncementReceived(f.now, Announcement{Server: serverKey("unknown"), Prompt: 1, Tokens: 5000})
	f.p.AnnouncementReceived(f.now, Announcement{Server: serverKey(id), Prompt: 1, Tokens: -5})
	require.Equal(t, uint64(3*maxAnnouncedPrefixes), f.p.Stats().AnnouncementsReceived)
}

func TestAnnouncementsAreNeitherSentNorTakenInWhenSwitchedOff(t *testing.T) {
	f := newFixture(t, 0, westAndEast())
	f.p.config.Off = switchedOff(t, policy.Announcements)
	require.Zero(t, f.pick(f.summary(1, 1)).Announce)
	id := f.list[0].GetId()
	f.p.AnnouncementReceived(f.now, Announcement{Server: serverKey(id), Prompt: 1, Tokens: 50_000})
	require.Zero(t, f.p.servers[id].busy(f.now))
}

func TestAnnouncedPrefixesOfARemovedServerAreForgotten(t *testing.T) {
	f := newFixture(t, 0, westAndEast())
	f.p.AnnouncementReceived(f.now, Announcement{Server: serverKey(f.list[0].GetId()), Prompt: 1, Tokens: 5000})
	f.list = f.list[1:]
	f.relist()
	require.Empty(t, f.p.announcedPrefixes)
}

func TestABusyServerIsNotSeeded(t *testing.T) {
	f := newFixture(t, 0, westAndEast())
	for _, entry := range f.list {
		if regions[entry.GetZone()] == west && entry.GetId() != f.list[0].GetId() {
			f.p.AnnouncementReceived(f.now, Announcement{Server: serverKey(entry.GetId()), Prompt: 1, Tokens: 40_000})
		}
	}
	for i := range 5 { // the idle server gets the seeding request and all others
		require.Equal(t, f.list[0].GetId(), f.serve(f.greeting(i), func(string) float64 { return 0.1 }))
	}
}

func TestAnnouncementsKeepToTheirRate(t *testing.T) {
	for _, rate := range []float64{0.5, 2.5, 25} {
		limiter := newAnnouncementLimiter()
		announced := 0
		const seconds, each = 60, 20 // prefills of 20 ms to 400 ms
		for i := range seconds * each {
			now := time.Duration(i) * time.Second / each
			if limiter.allows(now, time.Duration(20+20*(i%20))*time.Millisecond, rate) {
				announced++
			}
		}
		require.LessOrEqual(t, float64(announced), 1.1*rate*seconds+70, "70 announcements raise the threshold from its minimum to its maximum")
		require.GreaterOrEqual(t, float64(announced), min(0.8*rate*seconds, 0.8*seconds*each))
	}
}

func TestTheLongerPrefillsAreAnnouncedWhenThereAreTooMany(t *testing.T) {
	limiter := newAnnouncementLimiter()
	announced := map[bool]int{} // by whether the prefill time is above 200 ms
	for i := range 2000 {
		prefill := time.Duration(20+20*(i%20)) * time.Millisecond
		if limiter.allows(time.Duration(i)*50*time.Millisecond, prefill, 4) {
			announced[prefill > 200*time.Millisecond]++
		}
	}
	require.Greater(t, announced[true], 3*announced[false])
	for i := range 400 { // the threshold decays after the end of the load
		limiter.allows(100*time.Second+time.Duration(i)*time.Second, time.Millisecond, 4)
	}
	require.Equal(t, minAnnouncedPrefill, limiter.threshold)
}
