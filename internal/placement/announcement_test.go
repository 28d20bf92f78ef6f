package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fieldrelay/internal/policy"
)

func TestALongReadIsToldAndAShortOneIsNot(t *testing.T) {
	f := newFixture(t, 0, append(westAndEast(), listed(plainService, 90, zoneA)))
	long := f.pick(f.summary(1, 1)).Announce
	require.Equal(t, 9190, long.Tokens, "nobody told that the shared parts are kept")
	require.NotZero(t, long.Prompt)
	require.Zero(t, f.pick(f.greeting(1)).Announce)
	require.Zero(t, f.pick(f.request(routeBalance)).Announce)
}

func TestWhatOthersSentIsKeptThere(t *testing.T) {
	first, second := newFixture(t, 0, westAndEast()), newFixture(t, 1, westAndEast())
	told := first.pick(first.summary(1, 1)).Announce
	second.p.AnnouncementReceived(second.now, told)
	second.now += 10 * time.Second
	again := second.pick(second.summary(1, 2))
	require.Equal(t, told.Server, ServerKey(again.ServerID), "both draw the same home")
	require.Equal(t, 2890, again.Announce.Tokens, "only its own part is to be read")
}

func TestAServerThatReadsForOthersIsLeftMeanwhile(t *testing.T) {
	f := newFixture(t, 0, westAndEast())
	f.warm()
	home := f.serve(f.summary(1, 1), asPredicted)
	f.now += 20 * time.Second
	require.Equal(t, home, f.pick(f.summary(1, 2)).ServerID)
	f.now += 20 * time.Second
	f.p.AnnouncementReceived(f.now, Announcement{Server: ServerKey(home), Prompt: 7, Tokens: 60_000})
	require.NotEqual(t, home, f.pick(f.greeting(9999)).ServerID)
	away := f.pick(f.summary(1, 3))
	require.NotEqual(t, home, away.ServerID)
	f.now += maxBusyTime
	require.Zero(t, f.p.servers[home].busy(f.now), "it is not left for longer, whatever was told")
}

func TestAnnouncementsAreBounded(t *testing.T) {
	f := newFixture(t, 0, westAndEast())
	id := f.list[0].GetId()
	for i := range 3 * maxAnnouncedPrefixes {
		f.p.AnnouncementReceived(f.now, Announcement{Server: ServerKey(id), Prompt: uint32(i), Tokens: 1 << 30})
		require.LessOrEqual(t, len(f.p.announcedPrefixes), maxAnnouncedPrefixes)
	}
	require.LessOrEqual(t, f.p.servers[id].busy(f.now), maxBusyTime)
	f.p.AnnouncementReceived(f.now, Announcement{Server: ServerKey("unknown"), Prompt: 1, Tokens: 5000})
	f.p.AnnouncementReceived(f.now, Announcement{Server: ServerKey(id), Prompt: 1, Tokens: -5})
	require.Equal(t, uint64(3*maxAnnouncedPrefixes), f.p.Stats().Announced)
}

func TestNothingIsToldOrHeardWhereThatIsSwitchedOff(t *testing.T) {
	f := newFixture(t, 0, westAndEast())
	f.p.config.Off = policy.Without(policy.Announcements)
	require.Zero(t, f.pick(f.summary(1, 1)).Announce)
	id := f.list[0].GetId()
	f.p.AnnouncementReceived(f.now, Announcement{Server: ServerKey(id), Prompt: 1, Tokens: 50_000})
	require.Zero(t, f.p.servers[id].busy(f.now))
}

func TestAServerThatIsGoneIsNotRemembered(t *testing.T) {
	f := newFixture(t, 0, westAndEast())
	f.p.AnnouncementReceived(f.now, Announcement{Server: ServerKey(f.list[0].GetId()), Prompt: 1, Tokens: 5000})
	f.list = f.list[1:]
	f.relist()
	require.Empty(t, f.p.announcedPrefixes)
}

func TestABusyServerIsNotSeeded(t *testing.T) {
	f := newFixture(t, 0, westAndEast())
	for _, entry := range f.list {
		if regions[entry.GetZone()] == west && entry.GetId() != f.list[0].GetId() {
			f.p.AnnouncementReceived(f.now, Announcement{Server: ServerKey(entry.GetId()), Prompt: 1, Tokens: 40_000})
		}
	}
	for i := range 5 { // the one that is free is seeded, and gets the others as well
		require.Equal(t, f.list[0].GetId(), f.serve(f.greeting(i), func(string) float64 { return 0.1 }))
	}
}

func TestAnnouncementsKeepToTheirRate(t *testing.T) {
	for _, rate := range []float64{0.5, 2.5, 25} {
		pace := newAnnouncementLimiter()
		told := 0
		const seconds, each = 60, 20 // reads of 20 ms to 400 ms
		for i := range seconds * each {
			now := time.Duration(i) * time.Second / each
			if pace.allows(now, time.Duration(20+20*(i%20))*time.Millisecond, rate) {
				told++
			}
		}
		require.LessOrEqual(t, float64(told), 1.1*rate*seconds+70, "as many as raise the time from its least to its most")
		require.GreaterOrEqual(t, float64(told), min(0.8*rate*seconds, 0.8*seconds*each))
	}
}

func TestTheLongerReadsAreToldWhereThereAreTooMany(t *testing.T) {
	pace := newAnnouncementLimiter()
	told := map[bool]int{} // of reads longer than 200 ms, and of others
	for i := range 2000 {
		reading := time.Duration(20+20*(i%20)) * time.Millisecond
		if pace.allows(time.Duration(i)*50*time.Millisecond, reading, 4) {
			told[reading > 200*time.Millisecond]++
		}
	}
	require.Greater(t, told[true], 3*told[false])
	for i := range 400 { // the rush is over
		pace.allows(100*time.Second+time.Duration(i)*time.Second, time.Millisecond, 4)
	}
	require.Equal(t, minAnnouncedPrefill, pace.threshold)
}
