// Package ring stores a small state durably: a snapshot and the records that followed it, in a ring of preallocated
// files. An append or a snapshot that returned without an error survives a crash of the process and a power failure; a
// failed append or snapshot leaves the ring usable. A ring is not a log of everything that was ever appended: a
// snapshot replaces all earlier snapshots and records. docs/design/regional.md describes what the control machines
// store in a ring.
//
// # Files
//
// The files are named ring-0, ring-1 and so on. One of the files is current, and records are appended to it. A snapshot
// is written to the start of the next file, which then becomes the current one. The file that is overwritten is
// therefore always the oldest. A file is created with its full length, so that an append changes no metadata and needs
// no further disk space. A file grows only if a snapshot or the records after it do not fit.
//
// # Format, version 1
//
// All numbers are little-endian. A file begins with a header of 40 bytes:
//
//	 0  8 bytes  "frelring"
//	 8  uint32   format version
//	12  uint32   reserved, 0
//	16  uint64   epoch: 1 for the first file, incremented each time a file is started
//	24  uint64   nonce of the writer
//	32  uint64   checksum (xxhash64) of the preceding 32 bytes
//
// Frames follow the header without gaps. The first frame of a file is its snapshot, the others are records:
//
//	 0  uint64   checksum: xxhash64 of the previous frame's checksum (the file header's for the first frame),
//	             of the 24 bytes of this header that follow, and of the payload
//	 8  uint32   lower half of the file's epoch
//	12  uint32   sequence number in the file, 0 for the snapshot
//	16  uint32   length of the payload in bytes
//	20  uint8    kind of the record, 0 for the snapshot
//	21  3 bytes  reserved, 0
//	24  uint64   nonce of the writer
//	32           payload
//
// Each checksum covers the previous one, and a new nonce is drawn at every start and after every failure. A frame is
// therefore valid only after exactly the frames that preceded it when it was written: neither data that an earlier use
// of the file left behind nor the remains of a failed append can be mistaken for a record.
//
// # Recovery
//
// Recovery reads the newest file, by epoch, whose snapshot is valid, and its records up to the first invalid one.
// It first syncs all files: if only the process crashed, the data that recovery reads may still be in the page cache
// and not on disk. A snapshot whose write failed may nevertheless be complete in its file, and would then hide records
// that are appended to the current file later; the next append therefore first invalidates the header of that file.
package ring
