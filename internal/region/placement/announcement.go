package placement

import (
	"math"
	"time"

	"fieldrelay/internal/region/policy"
)

// Constants of the announcements between the proxies of a region.
const (
	// minAnnouncedPrefill is the shortest prefill time for which a prompt is announced: one that delays requests behind it by
	// more than the time that their first events take without any prefill.
	minAnnouncedPrefill = baseLatency
	// maxAnnounceThreshold is the upper bound of the announcement threshold, which starts at minAnnouncedPrefill.
	maxAnnounceThreshold = time.Second
	// regionAnnouncementRate is the approximate number of announcements that a proxy should receive per second: 160 of
	// about 43 bytes each are 7 KB/s, out of a budget of 9 KB/s for a sidecar's traffic other than requests.
	regionAnnouncementRate = 160.0
	// announceThresholdStep is the fraction by which each announcement raises the announcement threshold.
	announceThresholdStep = 0.05
	// announcedPrefixTTL is how long after their last announcement a prompt's shared chunks are assumed to be cached.
	announcedPrefixTTL = 60 * time.Second
	// maxAnnouncedPrefixes bounds the number of announced prefixes that are stored.
	maxAnnouncedPrefixes = 8192
	// maxBusyTime bounds how long a server is assumed to be busy with prompts that other proxies sent it, and so how
	// long a wrong announcement has an effect.
	maxBusyTime = 2 * time.Second
)

// Announcement informs the other proxies of the region about a prompt with a long prefill, so that they avoid its server
// during the prefill and know where the shared chunks are cached. It is sent as a datagram and may be lost.
type Announcement struct {
	Server uint32 // low half of the xxhash64 of the server's id
	Prompt uint32 // hash of the prompt's model and shared chunks
	Tokens int    // prompt tokens that the server has to prefill; 0: nothing is announced
}

// announcementLimiter limits the announcements that a proxy sends to about its share of regionAnnouncementRate. A prompt
// is announced if its prefill time reaches the threshold. Each announcement raises the threshold, which decays at such a
// rate that announcements at the intended rate keep it constant. Under a higher load only longer prefills are announced.
type announcementLimiter struct {
	threshold time.Duration
	updatedAt time.Duration
}

func newAnnouncementLimiter() announcementLimiter {
	return announcementLimiter{threshold: minAnnouncedPrefill}
}

// allows reports whether a prompt with a prefill time is to be announced, and if so raises the threshold. rate is the
// intended number of announcements per second of this proxy.
func (l *announcementLimiter) allows(now, prefill time.Duration, rate float64) bool {
	decay := math.Exp(-announceThresholdStep * rate * (now - l.updatedAt).Seconds())
	l.threshold = max(time.Duration(float64(l.threshold)*decay), minAnnouncedPrefill)
	l.updatedAt = now
	if prefill < l.threshold {
		return false
	}
	l.threshold = min(time.Duration(float64(l.threshold)*(1+announceThresholdStep)), maxAnnounceThreshold)
	return true
}

// announcementRate returns the intended number of announcements per second of this proxy: its share of
// regionAnnouncementRate.
func (p *Placer) announcementRate() float64 {
	proxies := p.regionProxies
	if proxies == 0 {
		proxies = assumedProxies
	}
	return regionAnnouncementRate / float64(proxies)
}

// promptKey returns the short hash that identifies a prompt's shared chunks in an Announcement.
func promptKey(h prefixHash) uint32 { return uint32(h) }

// announcedPrefix records where and when the shared chunks of a prompt were last prefilled.
type announcedPrefix struct {
	server *server
	at     time.Duration
}

// AnnouncementReceived records an announcement of another proxy of the region: the server is busy for the prefill time,
// and then has the prompt's shared chunks cached.
func (p *Placer) AnnouncementReceived(now time.Duration, announcement Announcement) {
	known := p.byKey[announcement.Server]
	if known == nil || announcement.Tokens <= 0 || p.off(policy.Announcements) {
		return
	}
	p.stats.AnnouncementsReceived++
	p.recordPrefix(now, known, announcement.Prompt)
	prefill := known.service.prefill.duration(announcement.Tokens)
	known.busyUntil = min(max(known.busyUntil, now)+prefill, now+maxBusyTime)
}

// recordPrefix records that the shared chunks of a prompt are cached at a server. A full table is cleared first.
func (p *Placer) recordPrefix(now time.Duration, at *server, key uint32) {
	if len(p.announcedPrefixes) >= maxAnnouncedPrefixes {
		clear(p.announcedPrefixes)
	}
	p.announcedPrefixes[key] = announcedPrefix{server: at, at: now}
}

// forgetAnnouncedPrefixes deletes the records that refer to a removed server.
func (p *Placer) forgetAnnouncedPrefixes(removed *server) {
	for key, last := range p.announcedPrefixes {
		if last.server == removed {
			delete(p.announcedPrefixes, key)
		}
	}
}

// prefixAnnouncedAt reports whether this proxy's own announced attempts or the announcements of other proxies say that
// a prompt's shared chunks were last prefilled at a server, within announcedPrefixTTL.
func (p *Placer) prefixAnnouncedAt(now time.Duration, at *server, q *prompt) bool {
	last, known := p.announcedPrefixes[promptKey(q.affinityKey)]
	return known && last.server == at && now-last.at < announcedPrefixTTL
}

// announce returns the announcement of an attempt at a candidate, or the zero value if none is to be sent.
func (p *Placer) announce(now time.Duration, c *candidate) Announcement {
	owner := c.server.service
	if !owner.servesModel() || p.off(policy.Announcements) {
		return Announcement{}
	}
	if !p.announcements.allows(now, owner.prefill.duration(c.likelyPrefillTokens), p.announcementRate()) {
		return Announcement{}
	}
	key := promptKey(p.buffers.prompt.affinityKey)
	p.recordPrefix(now, c.server, key)
	return Announcement{Server: uint32(c.server.hash), Prompt: key, Tokens: c.likelyPrefillTokens}
}

// busy returns the remaining time that a server needs to prefill the prompts announced by other proxies.
func (s *server) busy(now time.Duration) time.Duration { return max(s.busyUntil-now, 0) }
