package coordinationapi

import (
	"encoding/json"
	"errors"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"unicode/utf16"
	"unicode/utf8"

	validation "github.com/go-ozzo/ozzo-validation/v4"

	"fieldrelay/internal/region/httpapi"
)

// maxBodyBytes leaves room for a value of which each byte is escaped.
const maxBodyBytes = 8 * maxValueBytes

// readIDAndBody checks the name in the path of a call and reads its body, which must have the required members. The error is a
// RejectionError.
func readIDAndBody(w http.ResponseWriter, r *http.Request, id string, into any, required ...string) error {
	if err := validateID(id); err != nil {
		return err
	}
	return readBody(w, r, into, required...)
}

// readBody reads the body of a call, which must have the required members. Members that are not known are ignored. The
// error is a RejectionError.
func readBody(w http.ResponseWriter, r *http.Request, into any, required ...string) error {
	body, err := io.ReadAll(httpapi.LimitBody(w, r, maxBodyBytes))
	if err != nil {
		return httpapi.BodyError(err)
	}
	if offset := invalidTextOffset(body); offset >= 0 {
		return &MalformedBodyError{Offset: int64(offset), Reason: "it is not UTF-8"}
	}
	if offset := loneSurrogateOffset(body); offset >= 0 {
		return &MalformedBodyError{Offset: int64(offset), Reason: "it escapes half of a surrogate pair"}
	}
	var members map[string]json.RawMessage
	if err := json.Unmarshal(body, &members); err != nil {
		return decodeError(err)
	}
	faults := make(validation.Errors)
	for _, name := range required {
		if value, found := members[name]; !found || string(value) == "null" {
			faults[name] = errMissing
		}
	}
	if err := invalidFields(faults); err != nil {
		return err
	}
	exact, err := json.Marshal(dropInexactMembers(members))
	if err != nil {
		return decodeError(err)
	}
	return decodeError(json.Unmarshal(exact, into))
}

// dropInexactMembers drops the members whose names are those of a call but for the case of letters: the decoder of JSON would take
// them for these.
func dropInexactMembers(members map[string]json.RawMessage) map[string]json.RawMessage {
	maps.DeleteFunc(members, func(name string, _ json.RawMessage) bool {
		return slices.ContainsFunc(bodyFields, func(field string) bool {
			return name != field && strings.EqualFold(name, field)
		})
	})
	return members
}

// invalidTextOffset is the offset of the first byte that is not part of UTF-8 text, negative without one. The decoder of JSON
// would put another character in its place, and so change a name or a value.
func invalidTextOffset(body []byte) int {
	if utf8.Valid(body) {
		return -1
	}
	offset := 0
	for offset < len(body) {
		character, size := utf8.DecodeRune(body[offset:])
		if character == utf8.RuneError && size == 1 {
			break
		}
		offset += size
	}
	return offset
}

// escapedUnitBytes is the length of an escaped UTF-16 code unit in JSON: \uXXXX.
const escapedUnitBytes = 6

// loneSurrogateOffset is the offset of the first escape that is half of a surrogate pair, negative without one. It stands for
// no character, and the decoder of JSON would put another one in its place.
func loneSurrogateOffset(body []byte) int {
	for offset := 0; offset < len(body); offset++ {
		if body[offset] != '\\' {
			continue
		}
		unit, isUnit := escapedUnit(body[offset:])
		if !isUnit {
			offset++ // the escaped character
			continue
		}
		if utf16.IsSurrogate(unit) {
			next, _ := escapedUnit(body[offset+escapedUnitBytes:])
			if utf16.DecodeRune(unit, next) == utf8.RuneError {
				return offset
			}
			offset += escapedUnitBytes
		}
		offset += escapedUnitBytes - 1
	}
	return -1
}

// escapedUnit is the UTF-16 code unit that text begins with an escape of; false: it begins with none.
func escapedUnit(text []byte) (rune, bool) {
	if len(text) < escapedUnitBytes || text[0] != '\\' || text[1] != 'u' {
		return 0, false
	}
	unit, err := strconv.ParseUint(string(text[2:escapedUnitBytes]), 16, 16)
	return rune(unit), err == nil
}

// decodeError is the rejection for an error of decoding; nil without one.
func decodeError(err error) error {
	var wrongType *json.UnmarshalTypeError
	var malformed *json.SyntaxError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &wrongType) && wrongType.Field != "":
		return invalidField(wrongType.Field, "cannot be "+wrongType.Value)
	case errors.As(err, &wrongType):
		return &MalformedBodyError{Offset: wrongType.Offset, Reason: "it is no object"}
	case errors.As(err, &malformed):
		return &MalformedBodyError{Offset: malformed.Offset, Reason: malformed.Error()}
	default:
		return &MalformedBodyError{Reason: err.Error()}
	}
}
