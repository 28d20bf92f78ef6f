package ring

import (
	"crypto/rand"
	"encoding/binary"

	"github.com/cockroachdb/errors"
)

// Defaults and limits of Options.
const (
	DefaultFiles     = 4
	DefaultFileBytes = 1 << 20
	DefaultMaxBytes  = 64 << 20
	minFiles         = 2
	minFileBytes     = 4 << 10
)

// Options configure a ring. The zero value selects the defaults; all sizes are in bytes.
type Options struct {
	Files     int   // number of files, at least 2; DefaultFiles if 0
	FileBytes int64 // initial length of each file, at least 4 KB; DefaultFileBytes if 0
	MaxBytes  int64 // bound on the length of all files together; DefaultMaxBytes if 0
	// Storage stores the files; by default, it is the folder whose path is passed to Open.
	Storage Storage
	// Nonce returns a number that differs from all numbers returned before; by default, it returns a random number.
	Nonce func() uint64
}

func (o Options) withDefaults(dir string) Options {
	if o.Files == 0 {
		o.Files = DefaultFiles
	}
	if o.FileBytes == 0 {
		o.FileBytes = DefaultFileBytes
	}
	if o.MaxBytes == 0 {
		o.MaxBytes = DefaultMaxBytes
	}
	o.Files = max(o.Files, minFiles)
	o.FileBytes = max(o.FileBytes, minFileBytes)
	if o.Storage == nil {
		o.Storage = NewFolder(dir)
	}
	if o.Nonce == nil {
		o.Nonce = randomNonce
	}
	return o
}

func randomNonce() uint64 {
	var bytes [8]byte
	_, _ = rand.Read(bytes[:]) // crypto/rand.Read never returns an error
	return binary.LittleEndian.Uint64(bytes[:])
}

// Record is one entry of the ring. The caller defines the meaning of the kind.
type Record struct {
	Kind    uint8
	Payload []byte
}

// Recovered is the content of a ring when it was opened.
type Recovered struct {
	// Fresh reports that the ring is empty: no append and no snapshot has succeeded on this disk.
	Fresh bool
	// Snapshot is the payload of the newest snapshot; empty before the first snapshot.
	Snapshot []byte
	// Records are the records appended after the snapshot, in order. They include every record whose append
	// succeeded, and may be followed by a prefix of the records of one append that failed or did not return.
	Records []Record
}

// Ring is an open ring. It is not safe for concurrent use.
type Ring struct {
	options Options
	storage Storage

	current     *position
	file        File   // open current file; nil before the first snapshot or append
	nonce       uint64 // nonce of the next frames to be written
	suspectSlot int    // number of the file of a failed snapshot, which may be on disk nevertheless; noSlot: none
	buffer      []byte // encoded frames of one append; reused by the next one
	closed      bool
}

// noSlot stands for the absence of a file number.
const noSlot = -1

// position is the end of the successfully written data in a file.
type position struct {
	slot          int    // number of the file
	epoch         uint64 // epoch of the file; 0 before the first file
	sequence      uint32 // sequence number of the next frame
	end           int64  // offset after the last frame
	checksum      uint64 // checksum of the last frame
	length        int64  // length of the file
	snapshotBytes int64  // offset after the snapshot
}

// Open opens the ring in a folder and recovers its content, which is durable when Open returns. A missing folder is
// created by the first append or snapshot. The error is a *CorruptError if the files have content that this version
// cannot read, a *WriteError if the files could not be synced, and of another type if they cannot be read.
func Open(dir string, options Options) (*Ring, *Recovered, error) {
	options = options.withDefaults(dir)
	ring := &Ring{
		options:     options,
		storage:     options.Storage,
		nonce:       options.Nonce(),
		suspectSlot: noSlot,
	}
	if err := syncAll(ring.storage); err != nil {
		return nil, nil, err
	}
	scan, err := scanFiles(ring.storage)
	if err != nil {
		return nil, nil, err
	}
	if scan.best == nil {
		ring.current = &position{slot: noSlot}
		return ring, &Recovered{Fresh: true}, nil
	}
	file, err := ring.storage.Open(fileName(scan.best.position.slot), false)
	if err != nil {
		return nil, nil, errors.Wrap(err, "open the current file")
	}
	ring.current = &scan.best.position
	ring.file = file
	return ring, scan.best.toRecovered(), nil
}

// NeedsSnapshot reports whether the records appended since the last snapshot are large enough to justify a new one: at
// least as large as the snapshot, and half of Options.FileBytes.
func (r *Ring) NeedsSnapshot() bool {
	appended := r.current.end - r.current.snapshotBytes
	return appended >= max(r.options.FileBytes/2, r.current.snapshotBytes)
}

// Close closes the current file. Every later Append and Snapshot returns ErrClosed.
func (r *Ring) Close() error {
	r.closed = true
	if r.file == nil {
		return nil
	}
	file := r.file
	r.file = nil
	return errors.Wrap(file.Close(), "close the current file")
}
