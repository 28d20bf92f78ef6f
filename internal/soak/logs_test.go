package soak

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"strings"
)

const (
	violationsKey   = "violations"
	longestLine     = 16 << 20
	panicMark       = "panic: "
	fatalMark       = "fatal error: "
	dataRaceMark    = "WARNING: DATA RACE"
	counterOfNought = 0
)

// readLog looks for what a process says of itself: that it stood still, that it found an invariant broken, that it
// panicked.
func readLog(path string, found func(standstill), fail func(format string, arguments ...any)) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	lines := bufio.NewScanner(bytes.NewReader(text))
	lines.Buffer(nil, longestLine)
	for lines.Scan() {
		line := lines.Text()
		if strings.HasPrefix(line, panicMark) || strings.HasPrefix(line, fatalMark) || strings.Contains(line, dataRaceMark) {
			fail("%s: %s", path, line)
		}
		var fields map[string]any
		if json.Unmarshal(lines.Bytes(), &fields) != nil {
			continue
		}
		if fields["msg"] == standstillMessage {
			var own standstill
			if err := json.Unmarshal(lines.Bytes(), &own); err == nil {
				found(own)
			}
		}
		for _, broken := range violationsIn("", fields) {
			fail("%s: %s", path, broken)
		}
	}
	return lines.Err()
}

// violationsIn finds the counters of broken invariants that are not 0, at any depth.
func violationsIn(under string, value any) (broken []string) {
	switch value := value.(type) {
	case map[string]any:
		for key, inner := range value {
			broken = append(broken, violationsIn(under+"."+key, inner)...)
		}
	case []any:
		for _, inner := range value {
			broken = append(broken, violationsIn(under, inner)...)
		}
	case float64:
		if strings.Contains(under, violationsKey) && value != counterOfNought {
			broken = append(broken, fmt.Sprintf("%s = %v", strings.TrimPrefix(under, "."), value))
		}
	}
	return broken
}
