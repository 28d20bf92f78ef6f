package memorytuner

import (
	"bufio"
	"errors"
	"io"
	"os"
	"runtime/metrics"
	"strconv"
	"strings"
)

// Sizes is the memory of a process in bytes.
type Sizes struct {
	Resident       int64 // all resident memory, as the operating system counts it
	File           int64 // resident pages of files: the program itself
	RuntimeCounted int64 // what the Go runtime counts against its soft limit
}

// Unknown is used where the system does not report the sizes: it is larger than any size seen at a start.
var Unknown = Sizes{Resident: 12 << 20, File: 8 << 20}

// errNoSizes is the error of a system that does not report the resident memory.
var errNoSizes = errors.New("resident memory: /proc/self/status has no VmRSS")

// Read returns the sizes of this process, from /proc (proc_pid_status(5)) and the Go runtime.
func Read() (Sizes, error) {
	f, err := os.Open("/proc/self/status")
	if err != nil {
		return Sizes{}, err
	}
	defer func() { _ = f.Close() }() // the file was only read
	s, err := parseStatus(f)
	if err != nil {
		return Sizes{}, err
	}
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	s.RuntimeCounted = int64(samples[0].Value.Uint64() - samples[1].Value.Uint64())
	return s, nil
}

// parseStatus reads the sizes that the system reports.
func parseStatus(r io.Reader) (s Sizes, err error) {
	for lines := bufio.NewScanner(r); lines.Scan(); {
		key, value, _ := strings.Cut(lines.Text(), ":")
		var size *int64
		switch key {
		case "VmRSS":
			size = &s.Resident
		case "RssFile":
			size = &s.File
		default:
			continue
		}
		kb, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
		if err != nil {
			return Sizes{}, err
		}
		*size = kb << 10
	}
	if s.Resident == 0 {
		return Sizes{}, errNoSizes
	}
	return s, nil
}

// untouched returns the bytes that the Go runtime counts but that are not resident: they were requested and never written.
func (s Sizes) untouched() int64 { return max(s.RuntimeCounted-(s.Resident-s.File), 0) }
