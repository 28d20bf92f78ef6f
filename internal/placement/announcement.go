package placement

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"fieldrelay/internal/policy"
)

// Tuning of what proxies of a region tell each other.
const (
	// minAnnouncedPrefill is the least time to read from which on a prompt is told to the other proxies.
	minAnnouncedPrefill = 35 * time.Millisecond
	// maxAnnounceThreshold bounds that time when it rises.
	maxAnnounceThreshold = time.Second
	// regionAnnouncementRate is about how many announcements a proxy is to hear in a second: 160 of some 43 bytes are 7 KB/s, of 9
	// that a sidecar may cost besides its requests.
	regionAnnouncementRate = 160.0
	// announceThresholdStep is the part by which each announcement raises the time from which on prompts are told.
	announceThresholdStep = 0.05
	// announcedPrefixTTL is how long a prompt's shared parts are taken to be kept after they were last told of.
	announcedPrefixTTL = 60 * time.Second
	// maxAnnouncedPrefixes bounds the prompts that are remembered.
	maxAnnouncedPrefixes = 8192
	// maxBusyTime bounds for how long a server is taken to be reading what others sent it.
	maxBusyTime = 2 * time.Second
)

// Announcement is what a proxy tells the others of its region of a prompt that takes a server long to read, so that
// they keep away from that server meanwhile and know where the shared parts are kept.
type Announcement struct {
	Server uint32 // ServerKey of its id
	Prompt uint32 // hash of the model and the shared parts
	Tokens int    // that the server has to read; 0: nothing is told
}

// announcementLimiter keeps a proxy's announcements near its part of what the others are to hear: each one raises the time from
// which on prompts are told, which falls by as much between two at the proper rate. So where there are too many, the longer
// reads are told.
type announcementLimiter struct {
	threshold time.Duration // to read, from which on a prompt is told
	updatedAt time.Duration // when that was reckoned
}

func newAnnouncementLimiter() announcementLimiter {
	return announcementLimiter{threshold: minAnnouncedPrefill}
}

// allows tells whether a prompt that takes so long to read is told, and counts it if so. rate is about how many
// announcements this proxy is to send in a second.
func (a *announcementLimiter) allows(now, reading time.Duration, rate float64) bool {
	fall := math.Exp(-announceThresholdStep * rate * (now - a.updatedAt).Seconds())
	a.threshold = max(time.Duration(float64(a.threshold)*fall), minAnnouncedPrefill)
	a.updatedAt = now
	if reading < a.threshold {
		return false
	}
	a.threshold = min(time.Duration(float64(a.threshold)*(1+announceThresholdStep)), maxAnnounceThreshold)
	return true
}

// announcementRate is this proxy's part of what the proxies of its region are to hear in a second.
func (p *Placer) announcementRate() float64 {
	neighbours := p.regionProxies
	if neighbours == 0 {
		neighbours = assumedProxies
	}
	return regionAnnouncementRate / float64(neighbours)
}

// ServerKey is a short name of a server for datagrams.
func ServerKey(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// promptKey is the short name of a prompt by its shared parts.
func promptKey(c prefixHash) uint32 { return uint32(c) }

// announcedPrefix is where the shared parts of a prompt were last read.
type announcedPrefix struct {
	server *server
	at     time.Duration
}

// AnnouncementReceived takes in what another proxy of the region has sent to a server.
func (p *Placer) AnnouncementReceived(now time.Duration, announcement Announcement) {
	known := p.byKey[announcement.Server]
	if known == nil || announcement.Tokens <= 0 || p.off(policy.Announcements) {
		return
	}
	p.stats.Announced++
	p.recordPrefix(now, known, announcement.Prompt)
	reading := known.service.prefill.duration(announcement.Tokens)
	known.busyUntil = min(max(known.busyUntil, now)+reading, now+maxBusyTime)
}

// hear remembers where the shared parts of a prompt are kept.
func (p *Placer) recordPrefix(now time.Duration, at *server, key uint32) {
	if len(p.announcedPrefixes) >= maxAnnouncedPrefixes {
		clear(p.announcedPrefixes)
	}
	p.announcedPrefixes[key] = announcedPrefix{server: at, at: now}
}

// forgetAnnouncedPrefixes drops what is remembered of a server that is gone.
func (p *Placer) forgetAnnouncedPrefixes(gone *server) {
	for key, last := range p.announcedPrefixes {
		if last.server == gone {
			delete(p.announcedPrefixes, key)
		}
	}
}

// prefixAnnouncedAt tells whether a prompt's shared parts were read at a server lately, as far as this proxy knows.
func (p *Placer) prefixAnnouncedAt(now time.Duration, at *server, q *prompt) bool {
	last, known := p.announcedPrefixes[promptKey(q.affinityKey)]
	return known && last.server == at && now-last.at < announcedPrefixTTL
}

// announcement is what the other proxies are to be told of an attempt.
func (p *Placer) announce(now time.Duration, c *candidate) Announcement {
	owner := c.server.service
	if !owner.servesModel() || p.off(policy.Announcements) {
		return Announcement{}
	}
	if !p.announcements.allows(now, owner.prefill.duration(c.likelyPrefillTokens), p.announcementRate()) {
		return Announcement{}
	}
	prompt := promptKey(p.buffers.prompt.affinityKey)
	p.recordPrefix(now, c.server, prompt)
	return Announcement{Server: uint32(c.server.hash), Prompt: prompt, Tokens: c.likelyPrefillTokens}
}

// busy is how long a server is taken to read what others sent it.
func (s *server) busy(now time.Duration) time.Duration { return max(s.busyUntil-now, 0) }
