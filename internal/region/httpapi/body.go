package httpapi

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"
)

// bodyReadTimeout is the longest time in which a body may arrive.
const bodyReadTimeout = 10 * time.Second

// LimitBody returns the body of a request within the bounds of size and time. BodyError explains the errors of its reads.
func LimitBody(w http.ResponseWriter, r *http.Request, limitBytes int64) io.Reader {
	// If the deadline cannot be set, the timeouts of the connection itself stay in force.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyReadTimeout))
	return http.MaxBytesReader(w, r.Body, limitBytes)
}

// BodyError returns the rejection for an error of reading from LimitBody.
func BodyError(err error) RejectionError {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return &BodyTooLargeError{LimitBytes: tooLarge.Limit}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &BodyTimeoutError{}
	default:
		return &BodyIncompleteError{Cause: err}
	}
}
