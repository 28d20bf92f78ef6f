package configitem

import "fieldrelay/internal/region/jsonwalk"

// decoder decodes members that validation does not check, and collects the faults of those that cannot be used and
// count as missing.
type decoder struct {
	faults []FieldError
}

func (d *decoder) fault(field, reason string) {
	d.faults = append(d.faults, FieldError{Field: field, Reason: reason})
}

// nonNegative decodes a number that must not be negative.
func (d *decoder) nonNegative(field string, value []byte) float64 {
	if value == nil {
		return 0
	}
	number, ok := jsonwalk.Number(value)
	switch {
	case !ok:
		d.fault(field, "is not a number")
		return 0
	case number < 0:
		d.fault(field, "is below 0")
		return 0
	}
	return number
}

// boolean decodes true or false.
func (d *decoder) boolean(field string, value []byte) bool {
	switch string(value) {
	case "true":
		return true
	case "", "false":
		return false
	}
	d.fault(field, "is neither true nor false")
	return false
}

// text decodes a string.
func (d *decoder) text(field string, value []byte) string {
	if value != nil && !jsonwalk.IsString(value) {
		d.fault(field, "is not text")
	}
	return optionalText(value)
}

// optionalText decodes a JSON string. It returns the empty string for any other value.
func optionalText(value []byte) string {
	if !jsonwalk.IsString(value) {
		return ""
	}
	return jsonwalk.Text(value)
}
