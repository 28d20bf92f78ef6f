package ring

import (
	"cmp"
	"slices"

	"github.com/cockroachdb/errors"
)

// Report describes the files of a ring.
type Report struct {
	Files     []FileReport // newest first
	Recovered *Recovered   // content that Open would return; nil if Failure is set
	Failure   error        // *CorruptError with which Open would fail; nil if there is none
}

// FileReport describes one file.
type FileReport struct {
	Name          string
	Bytes         int64  // length of the file
	HeaderValid   bool   // if false, the file was never written or its header is torn
	Epoch         uint64 // epoch of the file; 0 without a valid header
	SnapshotValid bool
	SnapshotBytes int64 // length of the snapshot's payload
	Records       []RecordReport
	End           int64  // offset after the last valid frame
	Ending        Ending // kind of the data after End
	Current       bool   // recovery reads this file
}

// RecordReport describes one valid record.
type RecordReport struct {
	Sequence uint32 // sequence number of the record in its file
	Kind     uint8
	Bytes    int64 // length of the record's payload
}

// Check reads every record of the ring in a folder and reports the valid content of each file and the state that Open
// would recover. It changes no file. An error means that the files cannot be read.
func Check(dir string) (*Report, error) { return CheckStorage(NewFolder(dir)) }

// CheckStorage is like Check, but reads from any Storage.
func CheckStorage(storage Storage) (*Report, error) {
	report := &Report{}
	found, err := scanFiles(storage)
	switch {
	case isCorrupt(err):
		report.Failure = err
	case err != nil:
		return nil, err
	case found.best == nil:
		report.Recovered = &Recovered{Fresh: true}
	default:
		report.Recovered = found.best.toRecovered()
	}
	slots, err := listSlots(storage)
	if err != nil {
		return nil, err
	}
	for _, slot := range slots {
		file, err := checkFile(storage, slot)
		if err != nil {
			return nil, err
		}
		file.Current = found != nil && found.best != nil && found.best.slot == slot
		report.Files = append(report.Files, file)
	}
	sortNewestFirst(report.Files)
	return report, nil
}

// checkFile reads one file. Of a file with another format version it reads only the header.
func checkFile(storage Storage, slot int) (FileReport, error) {
	file := &candidate{slot: slot}
	if err := file.readHeader(storage); err != nil && !isCorrupt(err) {
		return FileReport{}, err
	}
	report := FileReport{Name: fileName(slot), Bytes: file.size, HeaderValid: file.headerValid}
	if !file.headerValid {
		return report, nil
	}
	report.Epoch = file.header.epoch
	if file.header.version != formatVersion {
		return report, nil
	}
	if err := file.readFrames(storage); err != nil {
		return FileReport{}, err
	}
	report.SnapshotValid = file.snapshotValid
	report.SnapshotBytes = int64(len(file.snapshot))
	report.End = file.position.end
	report.Ending = file.ending
	for index, record := range file.records {
		report.Records = append(report.Records, RecordReport{
			Sequence: uint32(index + 1),
			Kind:     record.Kind,
			Bytes:    int64(len(record.Payload)),
		})
	}
	return report, nil
}

func sortNewestFirst(reports []FileReport) {
	slices.SortStableFunc(reports, func(a, b FileReport) int {
		return cmp.Compare(b.Epoch, a.Epoch)
	})
}

// isCorrupt reports whether an error is a *CorruptError.
func isCorrupt(err error) bool {
	var corrupt *CorruptError
	return errors.As(err, &corrupt)
}
