package ring

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"io/fs"
	"slices"

	"github.com/cockroachdb/errors"
)

// readBufferBytes is the size of the reads of recovery.
const readBufferBytes = 32 << 10

// Ending tells what follows the last valid frame of a file.
type Ending int

const (
	// EndingClean: nothing that looks like a frame of this file.
	EndingClean Ending = iota
	// EndingTorn: a frame of this file that is not whole, as a loss of power or a failed write leaves it.
	EndingTorn
)

func (e Ending) String() string {
	if e == EndingTorn {
		return "torn"
	}
	return "clean"
}

// candidate is one file as far as it is valid.
type candidate struct {
	slot           int
	size           int64
	header         fileHeader
	headerValid    bool
	headerChecksum uint64 // checksum of the header
	snapshotValid  bool
	snapshotLost   bool // the snapshot is not valid but was on disk once: a record follows it
	snapshot       []byte
	records        []Record
	position       position
	ending         Ending
}

// scan is the outcome of reading all files.
type scan struct {
	candidates []*candidate // newest first
	best       *candidate   // what counts; nil if nothing was written yet
}

// syncAll makes what is in the files last, so that what is read from them now does.
func syncAll(files Files) error {
	slots, err := listSlots(files)
	if err != nil {
		return err
	}
	for _, slot := range slots {
		file, err := files.Open(fileName(slot), false)
		if err != nil {
			return errors.Wrapf(err, "open %s", fileName(slot))
		}
		syncErr := file.Sync()
		_ = file.Close()
		if syncErr != nil {
			return &WriteError{Operation: "sync", File: fileName(slot), Err: syncErr}
		}
	}
	if err := files.Sync(); err != nil {
		return &WriteError{Operation: "sync folder", Err: err}
	}
	return nil
}

func listSlots(files Files) ([]int, error) {
	names, err := files.List()
	if err != nil {
		return nil, errors.Wrap(err, "list the ring's files")
	}
	var slots []int
	for _, name := range names {
		if slot, ok := slotOf(name); ok {
			slots = append(slots, slot)
		}
	}
	slices.Sort(slots)
	return slots, nil
}

// scanFiles finds the newest file with a valid snapshot and reads it.
func scanFiles(files Files) (*scan, error) {
	result, err := scanHeaders(files)
	if err != nil {
		return nil, err
	}
	for _, one := range result.candidates {
		if !one.headerValid {
			continue
		}
		if err := one.readFrames(files); err != nil {
			return nil, err
		}
		if one.snapshotValid {
			result.best = one
			break
		}
		if one.snapshotLost {
			return nil, &CorruptError{File: fileName(one.slot), Reason: "records follow a snapshot that is not valid"}
		}
	}
	if err := result.checkGap(); err != nil {
		return nil, err
	}
	return result, nil
}

// checkGap wants the newest file to count, or the one before it: a file is only begun when the one before it
// is on disk, so that only one can be torn. The very first may be torn when nothing was acknowledged yet.
func (s *scan) checkGap() error {
	newest, best := uint64(0), uint64(0)
	for _, one := range s.candidates {
		if one.headerValid {
			newest = max(newest, one.header.epoch)
		}
	}
	if s.best != nil {
		best = s.best.header.epoch
	}
	if newest > best+1 {
		return &CorruptError{Reason: fmt.Sprintf("file %d was begun, but file %d has no valid snapshot", newest, newest-1)}
	}
	return nil
}

// scanHeaders reads the headers of all files.
func scanHeaders(files Files) (*scan, error) {
	slots, err := listSlots(files)
	if err != nil {
		return nil, err
	}
	result := &scan{}
	for _, slot := range slots {
		one := &candidate{slot: slot}
		if err := one.readHeader(files); err != nil {
			return nil, err
		}
		result.candidates = append(result.candidates, one)
	}
	slices.SortStableFunc(result.candidates, func(a, b *candidate) int {
		return cmp.Compare(b.header.epoch, a.header.epoch)
	})
	return result, nil
}

func (c *candidate) readHeader(files Files) error {
	file, err := files.Open(fileName(c.slot), false)
	if err != nil {
		return errors.Wrapf(err, "open %s", fileName(c.slot))
	}
	defer func() { _ = file.Close() }()
	if c.size, err = file.Size(); err != nil {
		return errors.Wrapf(err, "size of %s", fileName(c.slot))
	}
	var data [fileHeaderBytes]byte
	read, err := file.ReadAt(data[:], 0)
	if err != nil && !errors.Is(err, io.EOF) {
		return errors.Wrapf(err, "read %s", fileName(c.slot))
	}
	c.header, c.headerChecksum, c.headerValid = parseFileHeader(data[:read])
	if c.headerValid && c.header.version != formatVersion {
		return &CorruptError{
			File:    fileName(c.slot),
			Reason:  versionReason(c.header.version),
			Version: c.header.version,
		}
	}
	return nil
}

// read reads the snapshot and the records of a file whose header is valid.
func (c *candidate) readFrames(files Files) error {
	file, err := files.Open(fileName(c.slot), false)
	if err != nil {
		return errors.Wrapf(err, "open %s", fileName(c.slot))
	}
	defer func() { _ = file.Close() }()
	section := io.NewSectionReader(file, fileHeaderBytes, max(c.size-fileHeaderBytes, 0))
	reader := bufio.NewReaderSize(section, readBufferBytes)
	c.position = position{
		slot:     c.slot,
		epoch:    c.header.epoch,
		end:      fileHeaderBytes,
		checksum: c.headerChecksum,
		length:   c.size,
	}
	for {
		record, valid, err := c.readFrame(reader)
		if err != nil {
			return errors.Wrapf(err, "read %s", fileName(c.slot))
		}
		if !valid {
			break
		}
		c.accept(record)
	}
	if c.snapshotValid {
		return nil
	}
	return errors.Wrapf(c.detectLostSnapshot(file), "read %s", fileName(c.slot))
}

// detectLostSnapshot looks for the first record behind a snapshot that is not valid. A record is only appended
// once the snapshot is on disk, so that no loss of power leaves such a file.
func (c *candidate) detectLostSnapshot(file File) error {
	var data [frameHeaderBytes]byte
	whole, err := readFull(io.NewSectionReader(file, fileHeaderBytes, frameHeaderBytes), data[:])
	if !whole {
		return err
	}
	snapshot := parseFrameHeader(data[:])
	if snapshot.epoch != uint32(c.header.epoch) || snapshot.sequence != 0 || snapshot.length > maxPayloadBytes {
		return nil
	}
	behind := fileHeaderBytes + frameHeaderBytes + int64(snapshot.length)
	whole, err = readFull(io.NewSectionReader(file, behind, frameHeaderBytes), data[:])
	if !whole {
		return err
	}
	record := parseFrameHeader(data[:])
	c.snapshotLost = record.epoch == uint32(c.header.epoch) && record.sequence == 1
	return nil
}

// accept takes a valid frame in, whose checksum is already the chain's.
func (c *candidate) accept(record Record) {
	c.position.end += frameHeaderBytes + int64(len(record.Payload))
	if c.position.sequence == 0 {
		c.snapshotValid = true
		c.snapshot = record.Payload
		c.position.snapshotBytes = c.position.end
	} else {
		c.records = append(c.records, record)
	}
	c.position.sequence++
}

// recovered is what the ring holds if this file counts. A first file with an empty snapshot may be there
// although the append that began it failed.
func (c *candidate) toRecovered() *Recovered {
	return &Recovered{
		Fresh:    len(c.snapshot) == 0 && len(c.records) == 0,
		Snapshot: c.snapshot,
		Records:  c.records,
	}
}

// readFrame reads the next frame; valid is false at the end of the valid ones.
func (c *candidate) readFrame(reader *bufio.Reader) (record Record, valid bool, err error) {
	var data [frameHeaderBytes]byte
	if whole, err := readFull(reader, data[:]); !whole {
		return Record{}, false, err
	}
	frame := parseFrameHeader(data[:])
	if frame.epoch != uint32(c.header.epoch) || frame.sequence != c.position.sequence {
		return Record{}, false, nil
	}
	c.ending = EndingTorn
	remaining := c.size - c.position.end - frameHeaderBytes
	if frame.length > maxPayloadBytes || int64(frame.length) > remaining {
		return Record{}, false, nil
	}
	payload := make([]byte, frame.length)
	if whole, err := readFull(reader, payload); !whole {
		return Record{}, false, err
	}
	if frameChecksum(c.position.checksum, data[:], payload) != frame.checksum {
		return Record{}, false, nil
	}
	c.ending = EndingClean
	c.position.checksum = frame.checksum
	return Record{Kind: frame.kind, Payload: payload}, true, nil
}

// readFull fills the buffer; whole is false, without an error, where the file ends before.
func readFull(reader io.Reader, buffer []byte) (whole bool, err error) {
	_, err = io.ReadFull(reader, buffer)
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return false, nil
	}
	return err == nil, err
}

// missing reports whether an error tells that a file is not there.
func isNotExist(err error) bool { return errors.Is(err, fs.ErrNotExist) }
