package configitem

import "strings"

// CanonicalHost is a host without its port and in lower case: hosts that differ in these alone are one host.
func CanonicalHost(host string) string { return strings.ToLower(WithoutPort(host)) }

// WithoutPort cuts ":port" off a host, which may be an IPv6 address in brackets. A text with several colons outside
// of brackets is no host with a port and stays as it is.
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
