package placement

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"fieldrelay/internal/policy"
)

// Tuning of what proxies of a region tell each other.
const (
	// announceFrom is the least time to read from which on a prompt is told to the other proxies.
	announceFrom = 35 * time.Millisecond
	// announceMost bounds that time when it rises.
	announceMost = time.Second
	// heardRate is about how many announcements a proxy is to hear in a second: 160 of some 43 bytes are 7 KB/s, of 9
	// that a sidecar may cost besides its requests.
	heardRate = 160.0
	// announceStep is the part by which each announcement raises the time from which on prompts are told.
	announceStep = 0.05
	// heardFor is how long a prompt's shared parts are taken to be kept after they were last told of.
	heardFor = 60 * time.Second
	// maxHeard bounds the prompts that are remembered.
	maxHeard = 8192
	// longestBusy bounds for how long a server is taken to be reading what others sent it.
	longestBusy = 2 * time.Second
)

// Announcement is what a proxy tells the others of its region of a prompt that takes a server long to read, so that
// they keep away from that server meanwhile and know where the shared parts are kept.
type Announcement struct {
	Server uint32 // ServerKey of its id
	Prompt uint32 // hash of the model and the shared parts
	Tokens int    // that the server has to read; 0: nothing is told
}

// announcePace keeps a proxy's announcements near its part of what the others are to hear: each one raises the time from
// which on prompts are told, which falls by as much between two at the proper rate. So where there are too many, the longer
// reads are told.
type announcePace struct {
	from time.Duration // to read, from which on a prompt is told
	at   time.Duration // when that was reckoned
}

func newAnnouncePace() announcePace { return announcePace{from: announceFrom} }

// allows tells whether a prompt that takes so long to read is told, and counts it if so. rate is about how many
// announcements this proxy is to send in a second.
func (a *announcePace) allows(now, reading time.Duration, rate float64) bool {
	fall := math.Exp(-announceStep * rate * (now - a.at).Seconds())
	a.from = max(time.Duration(float64(a.from)*fall), announceFrom)
	a.at = now
	if reading < a.from {
		return false
	}
	a.from = min(time.Duration(float64(a.from)*(1+announceStep)), announceMost)
	return true
}

// announceRate is this proxy's part of what the proxies of its region are to hear in a second.
func (p *Placer) announceRate() float64 {
	neighbours := p.neighbours
	if neighbours == 0 {
		neighbours = unknownProxies
	}
	return heardRate / float64(neighbours)
}

// ServerKey is a short name of a server for datagrams.
func ServerKey(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// promptKey is the short name of a prompt by its shared parts.
func promptKey(c chain) uint32 { return uint32(c) }

// heardPrompt is where the shared parts of a prompt were last read.
type heardPrompt struct {
	server *server
	at     time.Duration
}

// AnnouncementReceived takes in what another proxy of the region has sent to a server.
func (p *Placer) AnnouncementReceived(now time.Duration, told Announcement) {
	known := p.byKey[told.Server]
	if known == nil || told.Tokens <= 0 || p.off(policy.Announcements) {
		return
	}
	p.stats.Announced++
	p.hear(now, known, told.Prompt)
	reading := known.service.engine.reading(told.Tokens)
	known.busyUntil = min(max(known.busyUntil, now)+reading, now+longestBusy)
}

// hear remembers where the shared parts of a prompt are kept.
func (p *Placer) hear(now time.Duration, at *server, key uint32) {
	if len(p.heard) >= maxHeard {
		clear(p.heard)
	}
	p.heard[key] = heardPrompt{server: at, at: now}
}

// forgetHeard drops what is remembered of a server that is gone.
func (p *Placer) forgetHeard(gone *server) {
	for key, last := range p.heard {
		if last.server == gone {
			delete(p.heard, key)
		}
	}
}

// heardAt tells whether a prompt's shared parts were read at a server lately, as far as this proxy knows.
func (p *Placer) heardAt(now time.Duration, at *server, q *prompt) bool {
	last, known := p.heard[promptKey(q.key)]
	return known && last.server == at && now-last.at < heardFor
}

// announcement is what the other proxies are to be told of an attempt.
func (p *Placer) announcement(now time.Duration, c *candidate) Announcement {
	owner := c.server.service
	if !owner.model() || p.off(policy.Announcements) {
		return Announcement{}
	}
	if !p.pace.allows(now, owner.engine.reading(c.likely), p.announceRate()) {
		return Announcement{}
	}
	prompt := promptKey(p.scratch.prompt.key)
	p.hear(now, c.server, prompt)
	return Announcement{Server: uint32(c.server.hash), Prompt: prompt, Tokens: c.likely}
}

// busy is how long a server is taken to read what others sent it.
func (s *server) busy(now time.Duration) time.Duration { return max(s.busyUntil-now, 0) }
