package ring

import (
	"bufio"
	"io"

	"github.com/cockroachdb/errors"
)

// readBufferBytes is the size of a read during recovery.
const readBufferBytes = 32 << 10

// Ending classifies the data that follows the last valid frame of a file.
type Ending int

const (
	// EndingClean means that the data is not a frame of this file's epoch.
	EndingClean Ending = iota
	// EndingTorn means that an incomplete frame of this file follows, as a power failure or a failed write leaves it.
	EndingTorn
)

// String returns "clean" or "torn".
func (e Ending) String() string {
	if e == EndingTorn {
		return "torn"
	}
	return "clean"
}

// candidate is the valid content of one file that recovery may choose.
type candidate struct {
	slot           int
	size           int64
	header         fileHeader
	headerValid    bool
	headerChecksum uint64
	snapshotValid  bool
	snapshotLost   bool // the snapshot is invalid but was on disk before: a record follows it
	snapshot       []byte
	records        []Record
	position       position
	ending         Ending
}

// readHeader reads the header of the file. The error is a *CorruptError if the file is of another version.
func (c *candidate) readHeader(storage Storage) error {
	file, err := storage.Open(fileName(c.slot), false)
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

// readFrames reads the snapshot and the records of a file whose header is valid, up to the first invalid frame.
func (c *candidate) readFrames(storage Storage) error {
	file, err := storage.Open(fileName(c.slot), false)
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

// detectLostSnapshot sets snapshotLost if the first record follows the invalid snapshot. A record is appended only
// once the snapshot is on disk, so a power failure cannot leave such a file: the snapshot was corrupted later.
func (c *candidate) detectLostSnapshot(file File) error {
	var data [frameHeaderBytes]byte
	complete, err := readFull(io.NewSectionReader(file, fileHeaderBytes, frameHeaderBytes), data[:])
	if !complete {
		return err
	}
	snapshot := parseFrameHeader(data[:])
	if snapshot.epoch != uint32(c.header.epoch) || snapshot.sequence != 0 || snapshot.length > maxPayloadBytes {
		return nil
	}
	recordOffset := fileHeaderBytes + frameHeaderBytes + int64(snapshot.length)
	complete, err = readFull(io.NewSectionReader(file, recordOffset, frameHeaderBytes), data[:])
	if !complete {
		return err
	}
	record := parseFrameHeader(data[:])
	c.snapshotLost = record.epoch == uint32(c.header.epoch) && record.sequence == 1
	return nil
}

// accept adds a frame that readFrame has verified.
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

// toRecovered returns the ring's content as recovered from this file. A file that holds only an empty snapshot also
// counts as a fresh ring: the append that created the file may have failed.
func (c *candidate) toRecovered() *Recovered {
	return &Recovered{
		Fresh:    len(c.snapshot) == 0 && len(c.records) == 0,
		Snapshot: c.snapshot,
		Records:  c.records,
	}
}

// readFrame reads the next frame and advances the checksum; valid is false after the last valid frame.
func (c *candidate) readFrame(reader *bufio.Reader) (record Record, valid bool, err error) {
	var data [frameHeaderBytes]byte
	if complete, err := readFull(reader, data[:]); !complete {
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
	if complete, err := readFull(reader, payload); !complete {
		return Record{}, false, err
	}
	if frameChecksum(c.position.checksum, data[:], payload) != frame.checksum {
		return Record{}, false, nil
	}
	c.ending = EndingClean
	c.position.checksum = frame.checksum
	return Record{Kind: frame.kind, Payload: payload}, true, nil
}

// readFull fills the buffer; complete is false, without an error, if the file ends before the buffer is full.
func readFull(reader io.Reader, buffer []byte) (complete bool, err error) {
	_, err = io.ReadFull(reader, buffer)
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return false, nil
	}
	return err == nil, err
}
