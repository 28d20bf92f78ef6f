package configitem

import "strings"

// CanonicalHost returns host in lower case and without its port. Hosts that differ only in case or port are treated
// as the same host.
func CanonicalHost(host string) string { return strings.ToLower(WithoutPort(host)) }

// WithoutPort removes ":port" from a host, which may be an IPv6 address in brackets. A string with several colons
// outside brackets is not a host with a port, and is returned unchanged.
func WithoutPort(host string) string {
	colon := strings.LastIndexByte(host, ':')
	if colon < 0 || strings.IndexByte(host[colon:], ']') >= 0 {
		return host
	}
	name := host[:colon]
	if strings.IndexByte(name, ':') >= 0 && !strings.HasSuffix(name, "]") {
		return host
	}
	return name
}
