package contract

import (
	"errors"
	"io/fs"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"strings"

	"fieldrelay/internal/sidecar/store"
)

// errKilled is the error of every file operation once the process is dead.
var errKilled = errors.New("contract: the process is dead")

// errSpace is the error of a write to a full disk.
var errSpace = errors.New("contract: no space left on device")

// MemoryFileSystem is an in-memory file system that simulates crashes. Only synced data is sure to survive Crash: unsynced
// data may be kept, lost, truncated, have a bit flipped or be mixed with older blocks, as drawn from the seed. The file system
// can end the process at any operation and can run out of space.
type MemoryFileSystem struct {
	rng         *rand.Rand
	files       map[string]file // current files, as the process sees them
	durable     map[string]file // files under the names of the last SyncDir
	locks       map[string]int  // incarnation that holds each lock, plus one
	incarnation int             // number of crashes and kills so far
	Ops         int             // number of operations of this process
	KillAt      int             // number of the operation at which the process is killed; 0: none
	Space       int             // maximum size of all files in bytes; 0: unlimited
	moved       []move          // renames since the last SyncDir, in order
}

type file struct {
	text   []byte
	synced []byte // contents at the last Sync
}

type move struct{ from, to string }

// NewMemoryFileSystem returns an empty file system whose faults are drawn from the seed.
func NewMemoryFileSystem(seed uint64) *MemoryFileSystem {
	return &MemoryFileSystem{rng: rand.New(rand.NewPCG(seed, 0xd15c)), files: map[string]file{}, durable: map[string]file{}, locks: map[string]int{}}
}

func (l *MemoryFileSystem) op() error {
	l.Ops++
	if l.KillAt > 0 && l.Ops >= l.KillAt {
		return errKilled
	}
	return nil
}

// MakeDir only counts as an operation: directories exist as parts of file names.
func (l *MemoryFileSystem) MakeDir(string) error { return l.op() }

// ReadFile returns up to most bytes of a file.
func (l *MemoryFileSystem) ReadFile(path string, most int) ([]byte, error) {
	if err := l.op(); err != nil {
		return nil, err
	}
	f, ok := l.files[path]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(f.text[:min(len(f.text), most)]), nil
}

// WriteFile replaces the contents of a file. They are not durable before Sync.
func (l *MemoryFileSystem) WriteFile(path string, text []byte) error {
	err := l.op()
	f := l.files[path]
	f.text = slices.Clone(text)
	if err != nil { // the process was killed during the write
		f.text = f.text[:l.rng.IntN(len(f.text)+1)]
	}
	if over := l.size() - len(l.files[path].text) + len(f.text) - l.Space; l.Space > 0 && over > 0 {
		f.text = f.text[:max(0, len(f.text)-over)]
		err = errors.Join(err, errSpace)
	}
	l.files[path] = f
	return err
}

func (l *MemoryFileSystem) size() (n int) {
	for _, f := range l.files {
		n += len(f.text)
	}
	return n
}

// Sync makes the contents of a file durable.
func (l *MemoryFileSystem) Sync(path string) error {
	if err := l.op(); err != nil {
		return err
	}
	f, ok := l.files[path]
	if !ok {
		return fs.ErrNotExist
	}
	f.synced = f.text
	l.files[path] = f
	return nil
}

// Rename renames a file. The rename is not durable before SyncDir.
func (l *MemoryFileSystem) Rename(from, to string) error {
	if err := l.op(); err != nil {
		return err
	}
	f, ok := l.files[from]
	if !ok {
		return fs.ErrNotExist
	}
	delete(l.files, from)
	l.files[to] = f
	l.moved = append(l.moved, move{from, to})
	return nil
}

// SyncDir makes the names of all files durable.
func (l *MemoryFileSystem) SyncDir(dir string) error {
	if err := l.op(); err != nil {
		return err
	}
	l.durable = maps.Clone(l.files)
	l.moved = nil
	return nil
}

// Lock takes a lock that ends with the process at the latest.
func (l *MemoryFileSystem) Lock(path string) (func() error, error) {
	if err := l.op(); err != nil {
		return nil, err
	}
	if l.locks[path] != 0 {
		return nil, store.ErrBusy
	}
	l.locks[path] = l.incarnation + 1
	life := l.incarnation
	return func() error {
		if l.incarnation == life {
			delete(l.locks, path)
		}
		return nil
	}, nil
}

// Crash ends the process and the machine. Each unsynced write is lost, kept or corrupted at random, and each unsynced rename
// may have taken effect or not. The next process finds the resulting files.
func (l *MemoryFileSystem) Crash() {
	after := maps.Clone(l.durable)
	for name, f := range l.files { // a new file may exist under its name even without SyncDir
		if _, ok := after[name]; !ok && l.rng.IntN(2) == 0 {
			after[name] = f
		}
	}
	for _, m := range l.moved {
		if f, ok := l.files[m.to]; ok && l.rng.IntN(2) == 0 {
			after[m.to] = f
			delete(after, m.from)
		}
	}
	for name, f := range after {
		if now, ok := l.files[name]; ok && slices.Equal(now.synced, f.synced) {
			f = now
		}
		if !slices.Equal(f.text, f.synced) {
			f.text = l.tear(f)
		}
		f.synced = f.text
		after[name] = f
	}
	l.files, l.durable, l.moved = after, maps.Clone(after), nil
	l.end()
}

// Kill ends the process only: the machine keeps everything that was written.
func (l *MemoryFileSystem) Kill() { l.end() }

func (l *MemoryFileSystem) end() {
	l.incarnation++
	l.locks = map[string]int{}
	l.Ops, l.KillAt = 0, 0
}

// tear returns what a crash leaves of a file with unsynced contents.
func (l *MemoryFileSystem) tear(f file) []byte {
	switch l.rng.IntN(5) {
	case 0:
		return slices.Clone(f.synced)
	case 1:
		return slices.Clone(f.text)
	case 2: // truncated
		return slices.Clone(f.text[:l.rng.IntN(len(f.text)+1)])
	case 3: // a bit flipped
		text := slices.Clone(f.text)
		if len(text) > 0 {
			text[l.rng.IntN(len(text))] ^= 1 << l.rng.IntN(8)
		}
		return text
	}
	text := slices.Clone(f.text) // the beginning has the old contents, or zeros
	at := l.rng.IntN(len(text) + 1)
	for i := range text[:at] {
		text[i] = 0
		if i < len(f.synced) {
			text[i] = f.synced[i]
		}
	}
	return text
}

// Corrupt changes a file and its durable copy in place, as a disk fault or another program does. It reports whether the file
// exists.
func (l *MemoryFileSystem) Corrupt(path string, change func([]byte) []byte) bool {
	f, ok := l.files[path]
	if ok {
		text := change(slices.Clone(f.text))
		l.files[path] = file{text, text}
		l.durable[path] = l.files[path]
	}
	return ok
}

// Text returns the current contents of a file.
func (l *MemoryFileSystem) Text(path string) []byte { return slices.Clone(l.files[path].text) }

// Names returns the sorted names of the files whose cleaned paths begin with prefix.
func (l *MemoryFileSystem) Names(prefix string) (names []string) {
	for _, name := range slices.Sorted(maps.Keys(l.files)) {
		if strings.HasPrefix(filepath.Clean(name), prefix) {
			names = append(names, name)
		}
	}
	return names
}
