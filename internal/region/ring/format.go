package ring

import (
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Constants of the file format, which the package comment describes.
const (
	formatVersion    = 1
	fileHeaderBytes  = 40
	frameHeaderBytes = 32 // length of a frame's header, which precedes its payload
	checksumBytes    = 8
	magic            = "frelring"
	filePrefix       = "ring-"
	// maxPayloadBytes bounds the payload that recovery reads if the length in a frame is corrupt.
	maxPayloadBytes = 1 << 30
)

// fileName returns the name of the file with a number.
func fileName(slot int) string { return filePrefix + strconv.Itoa(slot) }

// parseFileName parses the number of a ring file from its name; it returns false for other files.
func parseFileName(name string) (int, bool) {
	digits, found := strings.CutPrefix(name, filePrefix)
	if !found {
		return 0, false
	}
	slot, err := strconv.Atoi(digits)
	if err != nil || slot < 0 || fileName(slot) != name {
		return 0, false
	}
	return slot, true
}

// fileHeader is the header of a file.
type fileHeader struct {
	version uint32
	epoch   uint64
	nonce   uint64
}

// appendTo appends the encoded header and returns its checksum, the first in the chain of checksums.
func (h fileHeader) appendTo(buffer []byte) (encoded []byte, checksum uint64) {
	start := len(buffer)
	buffer = append(buffer, magic...)
	buffer = binary.LittleEndian.AppendUint32(buffer, h.version)
	buffer = binary.LittleEndian.AppendUint32(buffer, 0)
	buffer = binary.LittleEndian.AppendUint64(buffer, h.epoch)
	buffer = binary.LittleEndian.AppendUint64(buffer, h.nonce)
	checksum = xxhash.Sum64(buffer[start:])
	return binary.LittleEndian.AppendUint64(buffer, checksum), checksum
}

// parseFileHeader decodes a header; valid is false if its magic or checksum is wrong.
func parseFileHeader(data []byte) (header fileHeader, checksum uint64, valid bool) {
	if len(data) < fileHeaderBytes || string(data[:len(magic)]) != magic {
		return fileHeader{}, 0, false
	}
	covered := fileHeaderBytes - checksumBytes
	checksum = binary.LittleEndian.Uint64(data[covered:])
	if xxhash.Sum64(data[:covered]) != checksum {
		return fileHeader{}, 0, false
	}
	header = fileHeader{
		version: binary.LittleEndian.Uint32(data[8:]),
		epoch:   binary.LittleEndian.Uint64(data[16:]),
		nonce:   binary.LittleEndian.Uint64(data[24:]),
	}
	return header, checksum, true
}

// frameHeader is the header of a frame, before its payload.
type frameHeader struct {
	checksum uint64
	epoch    uint32 // lower half of the file's epoch
	sequence uint32
	length   uint32
	kind     uint8
	nonce    uint64
}

// appendTo appends the encoded header and returns the frame's checksum, which chains it to the previous frame.
func (h frameHeader) appendTo(buffer []byte, previous uint64, payload []byte) (encoded []byte, checksum uint64) {
	start := len(buffer)
	buffer = append(buffer, make([]byte, frameHeaderBytes)...)
	frame := buffer[start:]
	binary.LittleEndian.PutUint32(frame[8:], h.epoch)
	binary.LittleEndian.PutUint32(frame[12:], h.sequence)
	binary.LittleEndian.PutUint32(frame[16:], h.length)
	frame[20] = h.kind
	binary.LittleEndian.PutUint64(frame[24:], h.nonce)
	checksum = frameChecksum(previous, frame, payload)
	binary.LittleEndian.PutUint64(frame, checksum)
	return buffer, checksum
}

// parseFrameHeader decodes a header without verifying its checksum.
func parseFrameHeader(frame []byte) frameHeader {
	return frameHeader{
		checksum: binary.LittleEndian.Uint64(frame),
		epoch:    binary.LittleEndian.Uint32(frame[8:]),
		sequence: binary.LittleEndian.Uint32(frame[12:]),
		length:   binary.LittleEndian.Uint32(frame[16:]),
		kind:     frame[20],
		nonce:    binary.LittleEndian.Uint64(frame[24:]),
	}
}

// frameChecksum returns the checksum of a frame, given the checksum of the previous frame or of the file header.
func frameChecksum(previous uint64, frame, payload []byte) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	var start [checksumBytes]byte
	binary.LittleEndian.PutUint64(start[:], previous)
	_, _ = digest.Write(start[:])
	_, _ = digest.Write(frame[checksumBytes:frameHeaderBytes])
	_, _ = digest.Write(payload)
	return digest.Sum64()
}

// versionReason returns the reason of a CorruptError for a file of another format version.
func versionReason(version uint32) string {
	return fmt.Sprintf("unsupported format version %d, want %d", version, formatVersion)
}
