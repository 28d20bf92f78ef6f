package proxy

import (
	"bytes"
	"strconv"
)

// eventScanner finds the ends and the ids of server-sent events (text/event-stream, HTML Living Standard, section
// 9.2). It scans the stream incrementally, in pieces of any size, and keeps no copy of it.
type eventScanner struct {
	linePrefix []byte // beginning of the current line, at most maxIDLine bytes
	pendingID  string // id of the current event
	hasID      bool   // the current event has an id
	hasContent bool   // the current event has lines other than comments
	lastID     string // id of the last complete event that had an id
	// eventWithoutID reports whether a complete event without an id followed the event with lastID.
	eventWithoutID bool
}

// maxIDLine is the number of bytes of a line that are kept to find an id. The id of a longer line is ignored.
const maxIDLine = 256

func newEventScanner() *eventScanner {
	return &eventScanner{linePrefix: make([]byte, 0, 32)}
}

// scan scans data up to the end of the next event and returns the number of scanned bytes. complete reports whether
// an event ended there.
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

// appendLine adds a part of the current line to linePrefix, up to maxIDLine bytes.
func (s *eventScanner) appendLine(part []byte) {
	if room := maxIDLine - len(s.linePrefix); room > 0 {
		s.linePrefix = append(s.linePrefix, part[:min(room, len(part))]...)
	}
}

// endLine processes a complete line and reports whether an event ended with it. An empty line ends an event.
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

// parseID stores the event id if a line contains one that can be sent as Last-Event-ID.
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

// isHeaderValue reports whether an id can be sent as the value of a header.
func isHeaderValue(id []byte) bool {
	for _, character := range id {
		if character < ' ' || character > '~' {
			return false
		}
	}
	return true
}

// isLaterID reports whether an event id comes after another one. Numeric ids increase within a stream; of other ids
// only inequality can be checked.
func isLaterID(previous, id string) bool {
	before, errBefore := strconv.ParseUint(previous, 10, 64)
	after, errAfter := strconv.ParseUint(id, 10, 64)
	if errBefore == nil && errAfter == nil {
		return after > before
	}
	return id != previous
}
