package proxy

import "strings"

// originForm returns a request target in origin form (RFC 9112, section 3.2.1), in which it is sent to servers: path and
// query, byte for byte as the client sent them. A target in absolute form is reduced to its path and query. ok is false
// for targets of other forms.
func originForm(target string) (origin string, ok bool) {
	if strings.HasPrefix(target, "/") {
		return target, true
	}
	_, rest, found := strings.Cut(target, "://")
	if !found {
		return "", false
	}
	slash := strings.IndexAny(rest, "/?")
	switch {
	case slash < 0:
		return "/", true
	case rest[slash] == '?':
		return "/" + rest[slash:], true
	default:
		return rest[slash:], true
	}
}

// pathOf returns the path of a target in origin form, as the client sent it.
func pathOf(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}
