package placement

import (
	"time"

	"fieldrelay/internal/policy"
)

// Tuning of what proxies of a region tell each other.
const (
	// announceFrom is the time to read from which on a prompt is told to the other proxies.
	announceFrom = 35 * time.Millisecond
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
	ServerID string
	Key      uint64 // of the model and the shared parts
	Tokens   int    // that the server has to read; 0: nothing is told
}

// heardPrompt is where the shared parts of a prompt were last read.
type heardPrompt struct {
	server *server
	at     time.Duration
}

// Announced takes in what another proxy of the region has sent to a server.
func (p *Placer) Announced(now time.Duration, told Announcement) {
	known := p.servers[told.ServerID]
	if known == nil || told.Tokens <= 0 || p.off(policy.Announcements) {
		return
	}
	p.stats.Announced++
	p.hear(now, known, chain(told.Key))
	reading := known.service.engine.reading(told.Tokens)
	known.busyUntil = min(max(known.busyUntil, now)+reading, now+longestBusy)
}

// hear remembers where the shared parts of a prompt are kept.
func (p *Placer) hear(now time.Duration, at *server, key chain) {
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
	last, known := p.heard[q.key]
	return known && last.server == at && now-last.at < heardFor
}

// announcement is what the other proxies are to be told of an attempt.
func (p *Placer) announcement(now time.Duration, c *candidate) Announcement {
	owner := c.server.service
	if !owner.model() || p.off(policy.Announcements) || owner.engine.reading(c.likely) < announceFrom {
		return Announcement{}
	}
	p.hear(now, c.server, p.scratch.prompt.key)
	return Announcement{ServerID: c.server.id, Key: uint64(p.scratch.prompt.key), Tokens: c.likely}
}

// busy is how long a server is taken to read what others sent it.
func (s *server) busy(now time.Duration) time.Duration { return max(s.busyUntil-now, 0) }
