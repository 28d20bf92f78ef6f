// Package ringtest simulates a disk in memory for tests of state that is stored in a ring. The disk can lose power, be
// full, return errors, stall, and be replaced by an empty disk. It corrupts data only upon a call of Disk.Corrupt.
//
// A crash of the process leaves the files unchanged. After a power failure, a file has the content of its last sync;
// each later write may be complete, missing or torn, and at some power failures all of them are missing. A new file may
// be lost until its folder is synced, even if the file itself was synced.
package ringtest

import (
	"bytes"
	"io/fs"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"

	"fieldrelay/internal/region/ring"
)

// Faults are the probabilities, 0 to 1, with which an operation fails.
type Faults struct {
	Write float64 // probability of a failed write, which may write a prefix of its bytes, or change of length
	Sync  float64 // probability of a failed sync, after which some writes since the last sync may be on disk
}

// Disk implements ring.Storage in memory. It is safe for concurrent use.
type Disk struct {
	mutex      sync.Mutex
	random     *rand.Rand
	files      map[string]*content // files that the process sees, by name
	durable    map[string]*content // files whose names survive a power failure, by name
	generation int                 // number of process restarts; handles of an earlier generation are closed
	full       bool
	faults     Faults
	onAccess   func(operation string)
}

// NewDisk returns an empty disk whose faults are drawn from random.
func NewDisk(random *rand.Rand) *Disk {
	return &Disk{
		random:  random,
		files:   make(map[string]*content),
		durable: make(map[string]*content),
	}
}

// SetFull makes the disk full, so that every write fails with ENOSPC, or gives it free space again.
func (d *Disk) SetFull(full bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.full = full
}

// SetFaults sets the probabilities with which later operations fail.
func (d *Disk) SetFaults(faults Faults) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.faults = faults
}

// OnAccess sets a function that is called before every write ("write"), sync ("sync") and change of length
// ("truncate"), for example to simulate a stall; nil for none. The disk is not locked during the call.
func (d *Disk) OnAccess(function func(operation string)) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.onAccess = function
}

// Kill simulates a crash of the process: its open files are closed, and their content is kept.
func (d *Disk) Kill() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.generation++
}

// allLostProbability is the probability that a power failure loses every write that was not synced.
const allLostProbability = 0.3

// PowerLoss simulates a power failure: the process ends, and some or all of the data that was not synced is lost.
func (d *Disk) PowerLoss() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.generation++
	allLost := d.random.Float64() < allLostProbability
	for _, name := range sortedNames(d.files) {
		if _, isDurable := d.durable[name]; !isDurable && d.random.IntN(2) == 0 {
			d.durable[name] = d.files[name]
		}
	}
	d.files = make(map[string]*content)
	for _, name := range sortedNames(d.durable) {
		file := d.durable[name]
		file.losePower(d.random, allLost)
		d.files[name] = file
	}
}

// Save returns a function that rolls the disk back to its present durable content, as a restored backup would; a disk
// that works never does so.
func (d *Disk) Save() (restore func()) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	saved := make(map[string][]byte, len(d.durable))
	for name, file := range d.durable {
		saved[name] = bytes.Clone(file.synced)
	}
	return func() {
		d.Wipe()
		d.mutex.Lock()
		defer d.mutex.Unlock()
		for name, data := range saved {
			file := &content{visible: bytes.Clone(data), synced: bytes.Clone(data)}
			d.files[name] = file
			d.durable[name] = file
		}
	}
}

// Wipe simulates the replacement of the disk by an empty one; the process ends.
func (d *Disk) Wipe() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.generation++
	d.files = make(map[string]*content)
	d.durable = make(map[string]*content)
}

// List returns the names of the files.
func (d *Disk) List() ([]string, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return sortedNames(d.files), nil
}

// Open opens or creates a file as ring.Storage specifies.
func (d *Disk) Open(name string, create bool) (ring.File, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	file, found := d.files[name]
	if !found {
		if !create {
			return nil, fs.ErrNotExist
		}
		if d.full {
			return nil, syscall.ENOSPC
		}
		file = &content{}
		d.files[name] = file
	}
	return &handle{disk: d, file: file, generation: d.generation}, nil
}

// Sync makes the names of all files durable.
func (d *Disk) Sync() error {
	d.notifyAccess("sync")
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.random.Float64() < d.faults.Sync {
		return syscall.EIO
	}
	for name, file := range d.files {
		d.durable[name] = file
	}
	return nil
}

// Corrupt changes one byte of a file at random, which a power failure never does, and reports whether the file exists
// and is not empty.
func (d *Disk) Corrupt(name string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	file, found := d.files[name]
	if !found || len(file.visible) == 0 {
		return false
	}
	offset := d.random.IntN(len(file.visible))
	file.visible[offset] ^= byte(1 + d.random.IntN(255))
	file.sync()
	return true
}

// notifyAccess calls the function that OnAccess has set, if any.
func (d *Disk) notifyAccess(operation string) {
	d.mutex.Lock()
	function := d.onAccess
	d.mutex.Unlock()
	if function != nil {
		function(operation)
	}
}

func sortedNames(files map[string]*content) []string {
	names := make([]string, 0, len(files))
	for name := range files {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
