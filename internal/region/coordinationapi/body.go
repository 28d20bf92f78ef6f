package coordinationapi

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"unicode/utf8"

	validation "github.com/go-ozzo/ozzo-validation/v4"

	"fieldrelay/internal/region/httpapi"
)

// maxBodyBytes leaves room for a value of which each byte is escaped.
const maxBodyBytes = 8 * maxValueBytes

// readCall checks the name in the path of a call and reads its body, which must have the required members. The error is a
// RejectionError.
func readCall(w http.ResponseWriter, r *http.Request, id string, into any, required ...string) error {
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
	var members map[string]json.RawMessage
	if err := json.Unmarshal(body, &members); err != nil {
		return decodeError(err)
	}
	faults := make(validation.Errors)
	for _, name := range required {
		if value, found := members[name]; !found || string(value) == "null" {
			faults[name] = errMemberAbsent
		}
	}
	if err := invalidFields(faults); err != nil {
		return err
	}
	return decodeError(json.Unmarshal(body, into))
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
