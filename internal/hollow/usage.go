package hollow

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// clockTick is the unit of processor time in /proc.
const clockTick = 10 * time.Millisecond

// Usage is what a process has used since its start. Read and written bytes are those of all its files and
// sockets.
type Usage struct {
	Processor time.Duration
	Read      int64
	Written   int64
	Resident  int64 // bytes now
	Peak      int64 // most resident bytes
}

// usageOf reads the usage of a process.
func usageOf(process int) (Usage, error) {
	var usage Usage
	folder := fmt.Sprintf("/proc/%d/", process)
	stat, err := os.ReadFile(folder + "stat")
	if err != nil {
		return usage, errors.Wrap(err, "read the processor time")
	}
	if usage.Processor, err = processorTime(string(stat)); err != nil {
		return usage, err
	}
	bytes, err := figuresOf(folder + "io")
	if err != nil {
		return usage, err
	}
	memory, err := figuresOf(folder + "status")
	if err != nil {
		return usage, err
	}
	const kilobyte = 1 << 10
	usage.Read, usage.Written = bytes["rchar"], bytes["wchar"]
	usage.Resident, usage.Peak = memory["VmRSS"]*kilobyte, memory["VmHWM"]*kilobyte
	return usage, nil
}

// processorTime adds user and system time of a line of /proc/PID/stat.
func processorTime(stat string) (time.Duration, error) {
	const user, system = 11, 12 // after the name
	const endOfName = ") "      // a name may hold it too
	fields := strings.Fields(stat[max(strings.LastIndex(stat, endOfName), 0):])
	if len(fields) > 0 {
		fields = fields[1:]
	}
	if len(fields) <= system {
		return 0, errors.Newf("unreadable stat line %q", stat)
	}
	total := time.Duration(0)
	for _, field := range []string{fields[user], fields[system]} {
		ticks, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return 0, errors.Wrap(err, "read the processor time")
		}
		total += time.Duration(ticks) * clockTick
	}
	return total, nil
}

// figuresOf reads the lines "name: figure" of a file.
func figuresOf(path string) (map[string]int64, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read the usage")
	}
	figures := make(map[string]int64)
	for line := range strings.Lines(string(data)) {
		name, value, found := strings.Cut(line, ":")
		fields := strings.Fields(value)
		if !found || len(fields) == 0 {
			continue
		}
		if figure, err := strconv.ParseInt(fields[0], 10, 64); err == nil {
			figures[name] = figure
		}
	}
	return figures, nil
}

// since is what was used after an earlier reading; memory is as of now.
func (u Usage) since(before Usage) Usage {
	u.Processor -= before.Processor
	u.Read -= before.Read
	u.Written -= before.Written
	return u
}

func (u Usage) plus(other Usage) Usage {
	u.Processor += other.Processor
	u.Read += other.Read
	u.Written += other.Written
	u.Resident += other.Resident
	u.Peak += other.Peak
	return u
}
