package main

import (
	"fmt"
	"io"
)

// printer writes the lines of a command's report. A failed write is ignored: the exit code says what was found, and a
// reader that has closed the pipe wants no more.
type printer struct {
	output io.Writer
}

// line writes one line.
func (p printer) line(format string, values ...any) {
	_, _ = fmt.Fprintf(p.output, format+"\n", values...)
}
