package ring

import (
	"cmp"
	"fmt"
	"io/fs"
	"slices"

	"github.com/cockroachdb/errors"
)

// scan is the result of reading all files.
type scan struct {
	candidates []*candidate // newest first
	best       *candidate   // file to recover; nil if no snapshot was written yet
}

// syncAll syncs all files and the folder, so that all data that is read from them afterwards is durable.
func syncAll(storage Storage) error {
	slots, err := listSlots(storage)
	if err != nil {
		return err
	}
	for _, slot := range slots {
		file, err := storage.Open(fileName(slot), false)
		if err != nil {
			return errors.Wrapf(err, "open %s", fileName(slot))
		}
		syncErr := file.Sync()
		_ = file.Close() // Sync has already reported any failed write
		if syncErr != nil {
			return &WriteError{Operation: "sync", File: fileName(slot), Err: syncErr}
		}
	}
	if err := storage.Sync(); err != nil {
		return &WriteError{Operation: "sync folder", Err: err}
	}
	return nil
}

// listSlots returns the numbers of the ring's files in ascending order.
func listSlots(storage Storage) ([]int, error) {
	names, err := storage.List()
	if err != nil {
		return nil, errors.Wrap(err, "list the ring files")
	}
	var slots []int
	for _, name := range names {
		if slot, ok := parseFileName(name); ok {
			slots = append(slots, slot)
		}
	}
	slices.Sort(slots)
	return slots, nil
}

// scanFiles finds the newest file with a valid snapshot and reads it. The error is a *CorruptError if a newer state
// must have been lost, or if a file has another format version.
func scanFiles(storage Storage) (*scan, error) {
	result, err := scanHeaders(storage)
	if err != nil {
		return nil, err
	}
	for _, file := range result.candidates {
		if !file.headerValid {
			continue
		}
		if err := file.readFrames(storage); err != nil {
			return nil, err
		}
		if file.snapshotValid {
			result.best = file
			break
		}
		if file.snapshotLost {
			return nil, &CorruptError{File: fileName(file.slot), Reason: "records follow an invalid snapshot"}
		}
	}
	if err := result.checkGap(); err != nil {
		return nil, err
	}
	return result, nil
}

// checkGap returns a *CorruptError unless the file to recover is the newest one or its predecessor. A file is written
// only once the snapshot of its predecessor is on disk, so only the newest file can be torn. If the newest file is the
// very first one, no append or snapshot was acknowledged yet.
func (s *scan) checkGap() error {
	newest, best := uint64(0), uint64(0)
	for _, file := range s.candidates {
		if file.headerValid {
			newest = max(newest, file.header.epoch)
		}
	}
	if s.best != nil {
		best = s.best.header.epoch
	}
	if newest > best+1 {
		return &CorruptError{Reason: fmt.Sprintf("the file of epoch %d exists, but that of epoch %d has no valid snapshot",
			newest, newest-1)}
	}
	return nil
}

// scanHeaders reads the headers of all files and sorts the files by epoch, newest first.
func scanHeaders(storage Storage) (*scan, error) {
	slots, err := listSlots(storage)
	if err != nil {
		return nil, err
	}
	result := &scan{}
	for _, slot := range slots {
		file := &candidate{slot: slot}
		if err := file.readHeader(storage); err != nil {
			return nil, err
		}
		result.candidates = append(result.candidates, file)
	}
	slices.SortStableFunc(result.candidates, func(a, b *candidate) int {
		return cmp.Compare(b.header.epoch, a.header.epoch)
	})
	return result, nil
}

// isNotExist reports whether an error means that a file does not exist.
func isNotExist(err error) bool { return errors.Is(err, fs.ErrNotExist) }
