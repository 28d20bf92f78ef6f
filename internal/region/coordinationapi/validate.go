package coordinationapi

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"
	"unicode/utf8"

	validation "github.com/go-ozzo/ozzo-validation/v4"
)

// Bounds of what a call may contain.
const (
	maxNameBytes  = 256
	maxValueBytes = 64 << 10
	maxBodyBytes  = 2 * maxValueBytes
	maxHold       = time.Hour
)

// errInvalidText is the fault of a text that is not UTF-8.
var errInvalidText = validation.NewError("validation_utf8", "must be UTF-8")

// isText accepts UTF-8 alone.
var isText = validation.By(func(value any) error {
	if text, _ := value.(string); !utf8.ValidString(text) {
		return errInvalidText
	}
	return nil
})

func validateID(id string) error {
	return validation.Errors{"id": validation.Validate(id, validation.Required, validation.Length(1, maxNameBytes), isText)}.Filter()
}

func validateHolder(holder string) error {
	return validation.Errors{"holder": validateName(holder)}.Filter()
}

func validateHold(holder string, holdMS float64) error {
	return validation.Errors{
		"holder": validateName(holder),
		"hold-ms": validation.Validate(holdMS,
			validation.Required, validation.Min(1.0), validation.Max(float64(maxHold.Milliseconds()))),
	}.Filter()
}

func validateName(name string) error {
	return validation.Validate(name, validation.Required, validation.Length(1, maxNameBytes), isText)
}

func validateValue(value string) error {
	return validation.Errors{"val": validation.Validate(value, validation.Length(0, maxValueBytes))}.Filter()
}

// read reads the body of a call and checks it; it responds and returns false if there is a fault.
func (s *Server) read(w http.ResponseWriter, r *http.Request, body any, idFault error, validate func() error) bool {
	if idFault != nil {
		s.reject(w, http.StatusBadRequest, idFault.Error())
		return false
	}
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err := decoder.Decode(body); err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			s.reject(w, http.StatusRequestEntityTooLarge, err.Error())
		} else {
			s.reject(w, http.StatusBadRequest, "the body cannot be read: "+err.Error())
		}
		return false
	}
	if err := validate(); err != nil {
		s.reject(w, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}
