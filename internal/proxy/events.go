package proxy

import (
	"bytes"
	"strconv"
)

// eventScanner finds the ends of events (text/event-stream) and the ids that they carry. It is fed the
// stream in pieces and holds no copy of it.
type eventScanner struct {
	linePrefix []byte // beginning of the line that is being read, bounded
	pendingID  string // id of the event that is being read
	hasID      bool
	hasContent bool   // the event that is being read is more than comments
	lastID     string // id of the last whole event that had one
	// unnumbered tells that a whole event without an id came after that one.
	eventWithoutID bool
}

// maxIDLine bounds how much of a line is looked at for an id; a longer id is none that can be used.
const maxIDLine = 256

func newEventScanner() *eventScanner {
	return &eventScanner{linePrefix: make([]byte, 0, 32)}
}

// scan reads on until the end of the next event and returns how many bytes it took; whole tells whether an
// event ended there.
func (s *eventScanner) scan(data []byte) (scanned int, complete bool) {
	for scanned < len(data) {
		end := bytes.IndexByte(data[scanned:], '\n')
		if end < 0 {
			s.appendLine(data[scanned:])
			return len(data), false
		}
		s.appendLine(data[scanned : scanned+end])
		scanned += end + 1
		if s.endLine() {
			return scanned, true
		}
	}
	return scanned, false
}

func (s *eventScanner) appendLine(part []byte) {
	if room := maxIDLine - len(s.linePrefix); room > 0 {
		s.linePrefix = append(s.linePrefix, part[:min(room, len(part))]...)
	}
}

// endLine takes in the end of a line and tells whether an event ended with it.
func (s *eventScanner) endLine() bool {
	line := bytes.TrimSuffix(s.linePrefix, []byte{'\r'})
	s.linePrefix = s.linePrefix[:0]
	if len(line) > 0 {
		s.parseID(line)
		return false
	}
	switch {
	case s.hasID:
		s.lastID = s.pendingID
		s.eventWithoutID = false
	case s.hasContent:
		s.eventWithoutID = true
	}
	s.hasID, s.hasContent = false, false
	return true
}

func (s *eventScanner) parseID(line []byte) {
	s.hasContent = s.hasContent || line[0] != ':'
	value, found := bytes.CutPrefix(line, []byte("id:"))
	if !found {
		return
	}
	value = bytes.TrimPrefix(value, []byte{' '})
	if !isHeaderValue(value) || len(line) >= maxIDLine {
		return
	}
	s.pendingID = string(value)
	s.hasID = true
}

// isHeaderValue tells whether an id can be sent as the value of a header.
func isHeaderValue(id []byte) bool {
	for _, character := range id {
		if character < ' ' || character > '~' {
			return false
		}
	}
	return true
}

// follows tells whether an event id comes after another one. Ids of a stream rise.
func isLaterID(previous, id string) bool {
	before, errBefore := strconv.ParseUint(previous, 10, 64)
	after, errAfter := strconv.ParseUint(id, 10, 64)
	if errBefore == nil && errAfter == nil {
		return after > before
	}
	return id != previous
}
