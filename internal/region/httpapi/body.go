package httpapi

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"
)

// bodyReadTimeout bounds the time from the start of reading a body until its end arrives.
const bodyReadTimeout = 10 * time.Second

// LimitBody returns a reader of the body of a request that enforces a limit on its size and on the time to read it.
// BodyError converts the errors of the reader.
func LimitBody(w http.ResponseWriter, r *http.Request, limitBytes int64) io.Reader {
	// If the deadline cannot be set, the timeouts of the connection itself still apply.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyReadTimeout))
	return http.MaxBytesReader(w, r.Body, limitBytes)
}

// BodyError converts an error of a reader from LimitBody into a rejection.
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
