package planfile

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// durationOr parses a duration of a validated file; an empty string means the default value.
func durationOr(value string, defaultValue time.Duration) time.Duration {
	if value == "" {
		return defaultValue
	}
	parsed, err := time.ParseDuration(value)
	if err != nil {
		return defaultValue
	}
	return parsed
}

// parseTimeOfDay parses "15:04" or "15:04:05" as the time since midnight. Hours may exceed 23.
func parseTimeOfDay(value string) (time.Duration, error) {
	fields := strings.Split(value, ":")
	if len(fields) < 2 || len(fields) > 3 {
		return 0, errors.Newf("%q is not a time of day", value)
	}
	total := time.Duration(0)
	for index, unit := range []time.Duration{time.Hour, time.Minute, time.Second}[:len(fields)] {
		number, err := strconv.ParseUint(fields[index], 10, 16)
		if err != nil || (index > 0 && number >= 60) {
			return 0, errors.Newf("%q is not a time of day", value)
		}
		total += time.Duration(number) * unit
	}
	return total, nil
}

// formatTime is the inverse of parseTimeOfDay. It rounds up to whole seconds.
func formatTime(at time.Duration) string {
	seconds := int64((at + time.Second - 1) / time.Second)
	return fmt.Sprintf("%02d:%02d:%02d", seconds/3600, seconds/60%60, seconds%60)
}

const day = 24 * time.Hour
