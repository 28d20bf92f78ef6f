package main

import (
	"fmt"
	"io"
)

// printer writes the lines of a command's report. Write errors are ignored: the exit code reports the result, and a
// reader that has closed the pipe needs no further output.
type printer struct {
	output io.Writer
}

// line formats a line and writes it with a line feed.
func (p printer) line(format string, values ...any) {
	_, _ = fmt.Fprintf(p.output, format+"\n", values...)
}
