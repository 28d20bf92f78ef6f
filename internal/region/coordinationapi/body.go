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

// maxBodyBytes bounds the body of a call. It leaves room for the longest value with every byte escaped, which takes six
// bytes each, and for the other members.
const maxBodyBytes = 8 * maxValueBytes

// readIDAndBody checks the name in the path of a call and reads the body, which must have the required members. The error
// is a RejectionError.
func readIDAndBody(w http.ResponseWriter, r *http.Request, id string, into any, required ...string) error {
	if err := validateID(id); err != nil {
		return err
	}
	return readBody(w, r, into, required...)
}

// readBody reads the body of a call into the value that into points to. The body must have the required members; unknown
// members are ignored. The error is a RejectionError.
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

// dropInexactMembers removes the members whose names differ from those of a call only in the case of letters: the JSON
// decoder matches names without regard to case and would decode them as members of the call.
func dropInexactMembers(members map[string]json.RawMessage) map[string]json.RawMessage {
	maps.DeleteFunc(members, func(name string, _ json.RawMessage) bool {
		return slices.ContainsFunc(bodyFields, func(field string) bool {
			return name != field && strings.EqualFold(name, field)
		})
	})
	return members
}

// invalidTextOffset returns the offset of the first byte that is not valid UTF-8, or a negative number if there is none.
// The JSON decoder would replace such a byte by another character, and so change a name or a value.
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

// loneSurrogateOffset returns the offset of the first escape of a lone surrogate, that is, half of a surrogate pair, or a
// negative number if there is none. A lone surrogate is not a character, and the JSON decoder would replace it by one.
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

// escapedUnit returns the UTF-16 code unit whose escape text begins with, and false if text begins with no such escape.
func escapedUnit(text []byte) (rune, bool) {
	if len(text) < escapedUnitBytes || text[0] != '\\' || text[1] != 'u' {
		return 0, false
	}
	unit, err := strconv.ParseUint(string(text[2:escapedUnitBytes]), 16, 16)
	return rune(unit), err == nil
}

// decodeError converts an error of the JSON decoder into a rejection. It returns nil for nil.
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
