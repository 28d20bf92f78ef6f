package frontend

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
)

const (
	unixPrefix         = "unix:"
	defaultMode        = 0o600
	defaultConnections = 64
	maxSocketPath      = 100 // bytes; the operating system allows 107 (unix(7), sun_path)
)

// Settings is the section front of the operator's settings file.
type Settings struct {
	HTTP []Listener `toml:"http"` // HTTP listeners in addition to the platform's
}

// Listener holds the settings of a listener.
type Listener struct {
	Address     string `toml:"listen"`      // host:port, or unix: and a path
	Mode        string `toml:"mode"`        // mode of a Unix socket's file, in octal digits; 0600 if empty
	Connections int    `toml:"connections"` // maximum number of open connections; 64 if 0
}

// MaxConns returns the maximum number of open connections.
func (l *Listener) MaxConns() int {
	if l.Connections == 0 {
		return defaultConnections
	}
	return l.Connections
}

// path returns the path of a Unix socket, and whether the address is that of a Unix socket.
func (l *Listener) path() (path string, unix bool) { return strings.CutPrefix(l.Address, unixPrefix) }

func (l *Listener) mode() (os.FileMode, error) {
	if l.Mode == "" {
		return defaultMode, nil
	}
	mode, err := strconv.ParseUint(l.Mode, 8, 32)
	if err == nil && mode > 0o777 {
		err = strconv.ErrRange
	}
	return os.FileMode(mode), err
}

// Check calls fault for each key with an invalid value, with the value read and the values allowed. conns is the
// maximum total number of connections of all these listeners.
func (s *Settings) Check(conns int, fault func(key string, read any, allowed string)) {
	seen := map[string]bool{}
	left := conns
	for i := range s.HTTP {
		l, key := &s.HTTP[i], fmt.Sprintf("http[%d].", i)
		if allowed := l.allowedAddress(seen); allowed != "" {
			fault(key+"listen", l.Address, allowed)
		}
		seen[l.Address] = true
		_, unix := l.path()
		if _, err := l.mode(); err != nil || l.Mode != "" && !unix {
			fault(key+"mode", l.Mode, "up to three octal digits, for a Unix socket")
		}
		if left -= l.MaxConns(); l.Connections < 0 || left < 0 {
			fault(key+"connections", l.Connections, fmt.Sprintf("1 or more, of %d for all fronts beside the platform's", conns))
		}
	}
}

// allowedAddress returns "" if the address is valid and not among those seen; otherwise it describes the allowed
// addresses.
func (l *Listener) allowedAddress(seen map[string]bool) string {
	path, unix := l.path()
	_, port, err := net.SplitHostPort(l.Address)
	switch {
	case unix && (path == "" || len(path) > maxSocketPath):
		return fmt.Sprintf("unix: and a path of up to %d bytes", maxSocketPath)
	case !unix && (err != nil || port == "" || port == "0"):
		return "host:port, or unix: and a path"
	case seen[l.Address]:
		return "an address that no other front has"
	}
	return ""
}
