// Package ringtest is a disk in memory for tests of what is kept in a ring: it loses power, fills up, refuses,
// stalls, and can be replaced by an empty one.
//
// It behaves as a disk of the deployment does. When a process dies, files stay as they are. When power is
// lost, a file holds what its last sync covered; each later write may be there, missing or torn, and at some
// losses of power all of them are gone. A new file may be kept or lost until its folder is synced, whatever it holds.
package ringtest

import (
	"bytes"
	"io/fs"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"

	"fieldrelay/internal/ring"
)

// Faults are the probabilities, 0 to 1, with which an operation fails.
type Faults struct {
	Write float64 // a part of the write may have been done
	Sync  float64 // some of the writes since the last sync may be on disk
}

// Disk implements ring.Files in memory. It is safe for concurrent use.
type Disk struct {
	mutex      sync.Mutex
	random     *rand.Rand
	files      map[string]*content // as the process sees them
	lasting    map[string]*content // that are there after a loss of power
	generation int                 // handles of an earlier one are dead
	full       bool
	faults     Faults
	onAccess   func(operation string)
}

// NewDisk returns an empty disk that draws its luck from random.
func NewDisk(random *rand.Rand) *Disk {
	return &Disk{
		random:  random,
		files:   make(map[string]*content),
		lasting: make(map[string]*content),
	}
}

// Fill makes the disk refuse every write, or take writes again.
func (d *Disk) Fill(full bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.full = full
}

// SetFaults sets how often operations fail from now on.
func (d *Disk) SetFaults(faults Faults) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.faults = faults
}

// OnAccess sets a function that is called before every write ("write"), sync ("sync") and change of length
// ("truncate"), for example to let the disk stall; nil for none. It is called without the disk being locked.
func (d *Disk) OnAccess(function func(operation string)) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.onAccess = function
}

// Kill lets the process die: its open files are gone, what they held stays.
func (d *Disk) Kill() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.generation++
}

// allLost is the probability that a loss of power takes every write that was not synced.
const allLost = 0.3

// PowerLoss lets the process die and the disk lose what a loss of power may take.
func (d *Disk) PowerLoss() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.generation++
	everything := d.random.Float64() < allLost
	for _, name := range sortedNames(d.files) {
		if _, lasts := d.lasting[name]; !lasts && d.random.IntN(2) == 0 {
			d.lasting[name] = d.files[name]
		}
	}
	d.files = make(map[string]*content)
	for _, name := range sortedNames(d.lasting) {
		file := d.lasting[name]
		file.losePower(d.random, everything)
		d.files[name] = file
	}
}

// Save returns a function that puts the disk back to what it holds now, as no disk does that keeps what it has
// synced.
func (d *Disk) Save() (restore func()) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	saved := make(map[string][]byte, len(d.lasting))
	for name, file := range d.lasting {
		saved[name] = bytes.Clone(file.synced)
	}
	return func() {
		d.Wipe()
		d.mutex.Lock()
		defer d.mutex.Unlock()
		for name, data := range saved {
			file := &content{seen: bytes.Clone(data), synced: bytes.Clone(data)}
			d.files[name] = file
			d.lasting[name] = file
		}
	}
}

// Wipe replaces the disk by an empty one.
func (d *Disk) Wipe() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.generation++
	d.files = make(map[string]*content)
	d.lasting = make(map[string]*content)
}

// List returns the names of the files.
func (d *Disk) List() ([]string, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return sortedNames(d.files), nil
}

// Open opens a file, or makes it.
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

// Sync makes all new files last.
func (d *Disk) Sync() error {
	d.access("sync")
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.random.Float64() < d.faults.Sync {
		return syscall.EIO
	}
	for name, file := range d.files {
		d.lasting[name] = file
	}
	return nil
}

// Corrupt changes one byte of a file at random, as no loss of power does, and reports whether there was one.
func (d *Disk) Corrupt(name string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	file, found := d.files[name]
	if !found || len(file.seen) == 0 {
		return false
	}
	offset := d.random.IntN(len(file.seen))
	file.seen[offset] ^= byte(1 + d.random.IntN(255))
	file.sync()
	return true
}

// access calls the function of OnAccess.
func (d *Disk) access(operation string) {
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
