// Package ring keeps a small state on disk as a snapshot and the records that followed it, in a ring of
// preallocated files. An append or a snapshot that returned without an error survives a kill of the process
// and a loss of power; one that failed leaves the ring usable.
//
// # Files
//
// The files are named ring-0, ring-1 and so on. One of them is current. A snapshot goes to the start of the
// next one, which then becomes current; records are appended to the current file. The file that is overwritten
// is thereby always the oldest. A file has its full length from the start and is only made longer when a
// snapshot or the records after it need more.
//
// # Format, version 1
//
// All numbers are little-endian. A file begins with a header of 40 bytes:
//
//	 0  8 bytes  "frelring"
//	 8  uint32   version of the format
//	12  uint32   reserved, 0
//	16  uint64   epoch: 1 for the first file that was begun, one more for each file begun after it
//	24  uint64   nonce of the writer
//	32  uint64   checksum of the 32 bytes before
//
// Frames follow without gaps. The first one of a file is its snapshot, the others are records:
//
//	 0  uint64   checksum: xxhash64 of the previous frame's checksum (the header's for the first frame), of
//	             the 24 bytes that follow here, and of the payload
//	 8  uint32   the lower half of the epoch
//	12  uint32   sequence in the file, 0 for the snapshot
//	16  uint32   length of the payload in bytes
//	20  uint8    kind of the record, 0 for the snapshot
//	21  3 bytes  reserved, 0
//	24  uint64   nonce of the writer
//	32           payload
//
// Each checksum covers the previous one, and the nonce is another one after every start and every failure. So
// a frame is only valid behind the very frames that it was written behind: neither bytes of an earlier lap nor
// what is left of a failed append can be taken for a record.
//
// # Recovery
//
// The newest file, by epoch, whose snapshot is valid counts, with its records up to the first that is not
// valid. Recovery first syncs all files: what it reads might not be on disk yet when only the process had
// died. After a snapshot that failed, its file might nevertheless hold it. Since records appended to the
// current file later would be hidden by it, the next append first makes that file's header invalid.
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

// Options of a ring. The zero value gives the defaults.
type Options struct {
	Files     int   // number of files, 2 at least; 4 by default
	FileBytes int64 // length that each file is made with; 1 MB by default
	MaxBytes  int64 // bound on the length of all files together; 64 MB by default
	// Storage is where the files are kept; by default, the folder that Open is given.
	Storage Files
	// Nonce draws a number that differs from all earlier ones; by default, from the system's random source.
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
	_, _ = rand.Read(bytes[:]) // it never fails
	return binary.LittleEndian.Uint64(bytes[:])
}

// Record is one entry of the ring. Its kind is the caller's.
type Record struct {
	Kind    uint8
	Payload []byte
}

// Recovered is what a ring held when it was opened.
type Recovered struct {
	// Fresh tells that the ring holds nothing: no append and no snapshot has succeeded on this disk.
	Fresh bool
	// Snapshot is the payload of the newest snapshot; empty before the first.
	Snapshot []byte
	// Records are those appended after the snapshot, in order. All of the records whose append succeeded are
	// there; the last ones may be of an append that failed or did not return, of which a part may be missing
	// at the end.
	Records []Record
}

// Ring is an open ring. It is not safe for concurrent use.
type Ring struct {
	options Options
	files   Files

	current     *position
	file        File // of current; nil before the first
	nonce       uint64
	suspectSlot int // slot of a failed snapshot, which might be on disk all the same; noSlot if there is none
	buffer      []byte
	closed      bool
}

// noSlot stands for no file.
const noSlot = -1

// position is the end of what was written to a file with success.
type position struct {
	slot          int    // number of the file
	epoch         uint64 // 0 before the first file
	sequence      uint32 // of the next frame
	end           int64  // offset after the last frame
	checksum      uint64 // checksum of the last frame
	length        int64  // of the file
	snapshotBytes int64  // up to the end of the snapshot
}

// Open opens the ring in a folder, which is made if it is missing, and recovers what it holds. What it
// returns is on disk. The error is a *CorruptError if the files hold something that this version cannot read,
// a *WriteError if they could not be synced, and another one if they cannot be read.
func Open(dir string, options Options) (*Ring, *Recovered, error) {
	options = options.withDefaults(dir)
	ring := &Ring{
		options:     options,
		files:       options.Storage,
		nonce:       options.Nonce(),
		suspectSlot: noSlot,
	}
	if err := syncAll(ring.files); err != nil {
		return nil, nil, err
	}
	scan, err := scanFiles(ring.files)
	if err != nil {
		return nil, nil, err
	}
	if scan.best == nil {
		ring.current = &position{slot: noSlot}
		return ring, &Recovered{Fresh: true}, nil
	}
	file, err := ring.files.Open(fileName(scan.best.position.slot), false)
	if err != nil {
		return nil, nil, errors.Wrap(err, "open the current file")
	}
	ring.current = &scan.best.position
	ring.file = file
	return ring, scan.best.toRecovered(), nil
}

// NeedsSnapshot reports whether so much was appended since the last snapshot that a new one is worth its
// writing.
func (r *Ring) NeedsSnapshot() bool {
	appended := r.current.end - r.current.snapshotBytes
	return appended >= max(r.options.FileBytes/2, r.current.snapshotBytes)
}

// Stats describes a ring's current file.
type Stats struct {
	Epoch         uint64 // files begun so far
	Records       int    // after the snapshot
	SnapshotBytes int64
	RecordBytes   int64
}

// Stats returns figures for logs and status pages.
func (r *Ring) Stats() Stats {
	stats := Stats{
		Epoch:         r.current.epoch,
		SnapshotBytes: r.current.snapshotBytes,
		RecordBytes:   r.current.end - r.current.snapshotBytes,
	}
	if r.current.sequence > 0 {
		stats.Records = int(r.current.sequence) - 1
	}
	return stats
}

// Close closes the ring's file. The ring cannot be used afterwards.
func (r *Ring) Close() error {
	r.closed = true
	if r.file == nil {
		return nil
	}
	file := r.file
	r.file = nil
	return errors.Wrap(file.Close(), "close the current file")
}
