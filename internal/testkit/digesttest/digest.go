// Package digesttest computes digests of seeded runs for tests, to detect a change of behavior and roughly when in the
// run it begins. The test chooses the input of a digest: labels written in the test, numbers, texts and encoded bytes,
// but never a Go name. The package is for tests only.
package digesttest

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"hash"
	"math"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"fieldrelay/internal/testkit/recordedtest"
)

// shortDigest is the number of hexadecimal digits that are kept of the digest of an interval.
const shortDigest = 16

// Recorder computes digests of the events of a run, in order: one for each interval of its time and one for the whole run.
type Recorder struct {
	interval time.Duration
	now      int64 // index of the current interval
	begun    bool
	counts   map[string]int // number of entries of the current interval by label
	labels   []string       // labels of the current interval, in the order of their first entry
	entries  int
	one      hash.Hash // digest of the current interval
	all      hash.Hash // digest of the whole run
	lines    []string
}

// New returns a recorder that computes a digest for each interval of the given duration.
func New(part time.Duration) *Recorder {
	return &Recorder{interval: part, counts: make(map[string]int), one: sha256.New(), all: sha256.New()}
}

// Entry begins an entry: an event of the labeled kind occurred at a time.
func (r *Recorder) Entry(at time.Duration, label string) *Recorder {
	if now := int64(at / r.interval); !r.begun || now != r.now {
		r.endInterval()
		r.now, r.begun = now, true
	}
	r.entries++
	if r.counts[label]++; r.counts[label] == 1 {
		r.labels = append(r.labels, label)
	}
	return r.Text(label).Time(at)
}

func (r *Recorder) endInterval() {
	if !r.begun {
		return
	}
	line := fmt.Sprintf("%v %s", time.Duration(r.now)*r.interval, hex.EncodeToString(r.one.Sum(nil))[:shortDigest])
	for _, label := range r.labels {
		line += fmt.Sprintf(" %s:%d", label, r.counts[label])
	}
	r.lines = append(r.lines, line)
	r.one.Reset()
	clear(r.counts)
	r.labels = nil
}

func (r *Recorder) write(bytes []byte) {
	_, _ = r.one.Write(bytes)
	_, _ = r.all.Write(bytes)
}

// Number adds a number to the entry.
func (r *Recorder) Number(value uint64) *Recorder {
	r.write(binary.BigEndian.AppendUint64(nil, value))
	return r
}

// Time adds a time or a duration to the entry.
func (r *Recorder) Time(value time.Duration) *Recorder { return r.Number(uint64(value)) }

// Float adds the IEEE 754 bits of a floating-point number to the entry.
func (r *Recorder) Float(value float64) *Recorder { return r.Number(math.Float64bits(value)) }

// Flag adds a boolean to the entry.
func (r *Recorder) Flag(value bool) *Recorder {
	if value {
		return r.Number(1)
	}
	return r.Number(0)
}

// Bytes adds a byte slice and its length to the entry.
func (r *Recorder) Bytes(value []byte) *Recorder {
	r.Number(uint64(len(value)))
	r.write(value)
	return r
}

// Text adds a string to the entry.
func (r *Recorder) Text(value string) *Recorder { return r.Bytes([]byte(value)) }

// Message adds the encoded bytes of a message to the entry, and whether the message is valid (not nil).
func (r *Recorder) Message(message proto.Message) *Recorder {
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		panic(err)
	}
	return r.Flag(message.ProtoReflect().IsValid()).Bytes(encoded)
}

// String ends the run and returns its digests: one line for each interval of its time, and one for the whole run.
func (r *Recorder) String() string {
	r.endInterval()
	r.begun = false
	return fmt.Sprintf("%s\nall %s of %d\n", strings.Join(r.lines, "\n"), hex.EncodeToString(r.all.Sum(nil)), r.entries)
}

// Compare executes a run twice. It fails if the digests of the two executions differ, or differ from those recorded under the run's
// name in testdata, which means that the behavior has changed. With update it records the digests.
func Compare(t *testing.T, name string, update bool, play func() *Recorder) {
	t.Helper()
	first := play().String()
	require.Equal(t, first, play().String(), "the second execution of the same run gave different digests")
	recordedtest.Compare(t, update, filepath.Join("testdata", "digests", name+".txt"), first)
}
