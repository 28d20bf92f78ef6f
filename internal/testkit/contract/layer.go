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

// errKilled is what a layer gives once the process on it is dead.
var errKilled = errors.New("contract: the process is dead")

// errSpace is a disk that is full.
var errSpace = errors.New("contract: no space left on device")

// MemoryFileSystem is files in memory, of which only what was synced is sure to be there after Crash: the rest is torn, cut, flipped or
// put in another order, as the seed draws. It can end the process at any operation and fill up.
type MemoryFileSystem struct {
	rng         *rand.Rand
	files       map[string]file // as the process sees them
	durable     map[string]file // names as they were when their folder was last synced
	locks       map[string]int  // by life
	incarnation int             // of the process
	Ops         int             // done so far
	KillAt      int             // operation at which the process ends; 0: none
	Space       int             // bytes that may be in files; 0: no bound
	moved       []move          // renames since the folder was synced, in order
}

type file struct {
	text   []byte
	synced []byte // what is sure
}

type move struct{ from, to string }

// NewMemoryFileSystem makes an empty disk.
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

// MakeDir does nothing: folders are names.
func (l *MemoryFileSystem) MakeDir(string) error { return l.op() }

// ReadFile reads.
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

// WriteFile writes; nothing of it is sure before Sync.
func (l *MemoryFileSystem) WriteFile(path string, text []byte) error {
	err := l.op()
	f := l.files[path]
	f.text = slices.Clone(text)
	if err != nil { // ended in the middle of it
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

// Sync makes the text of a file sure.
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

// Rename renames; that is not sure before SyncDir.
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

// SyncDir makes the names of a folder sure.
func (l *MemoryFileSystem) SyncDir(dir string) error {
	if err := l.op(); err != nil {
		return err
	}
	l.durable = maps.Clone(l.files)
	l.moved = nil
	return nil
}

// Lock takes a lock of this life.
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

// Crash ends the process and the machine: what was not synced is lost, kept or torn, each by chance, and renames that were
// not synced may have been done or not. The next process finds the disk as it then is.
func (l *MemoryFileSystem) Crash() {
	after := maps.Clone(l.durable)
	for name, f := range l.files { // a file that was synced may be there under its new name without SyncDir
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

// Kill ends the process alone: the machine still has what was written.
func (l *MemoryFileSystem) Kill() { l.end() }

func (l *MemoryFileSystem) end() {
	l.incarnation++
	l.locks = map[string]int{}
	l.Ops, l.KillAt = 0, 0
}

// tear is what a crash may leave of a text that was not synced.
func (l *MemoryFileSystem) tear(f file) []byte {
	switch l.rng.IntN(5) {
	case 0:
		return slices.Clone(f.synced)
	case 1:
		return slices.Clone(f.text)
	case 2: // cut
		return slices.Clone(f.text[:l.rng.IntN(len(f.text)+1)])
	case 3: // a bit flipped
		text := slices.Clone(f.text)
		if len(text) > 0 {
			text[l.rng.IntN(len(text))] ^= 1 << l.rng.IntN(8)
		}
		return text
	}
	text := slices.Clone(f.text) // the first blocks are the old ones, or empty
	at := l.rng.IntN(len(text) + 1)
	for i := range text[:at] {
		text[i] = 0
		if i < len(f.synced) {
			text[i] = f.synced[i]
		}
	}
	return text
}

// Corrupt changes the file of a name in place, as a fault of the disk or a stranger would. It tells whether the file is there.
func (l *MemoryFileSystem) Corrupt(path string, change func([]byte) []byte) bool {
	f, ok := l.files[path]
	if ok {
		text := change(slices.Clone(f.text))
		l.files[path] = file{text, text}
		l.durable[path] = l.files[path]
	}
	return ok
}

// Text is a file as it is now.
func (l *MemoryFileSystem) Text(path string) []byte { return slices.Clone(l.files[path].text) }

// Names are the files whose names begin with prefix.
func (l *MemoryFileSystem) Names(prefix string) (names []string) {
	for _, name := range slices.Sorted(maps.Keys(l.files)) {
		if strings.HasPrefix(filepath.Clean(name), prefix) {
			names = append(names, name)
		}
	}
	return names
}
