package forward

import (
	"net/http"
	"net/netip"
	"slices"
	"strings"
)

// Headers that tell a backend server about the caller's connection.
const (
	HeaderForwardedFor   = "X-Forwarded-For"
	HeaderForwardedProto = "X-Forwarded-Proto"
)

// unknownAddress stands for an address that cannot be parsed.
const unknownAddress = "unknown"

// Origin is what backend servers are told about the caller's connection.
type Origin struct {
	// For is a list of IP addresses, separated by a comma and a space: the caller's first, then the
	// trusted proxies that the request passed.
	For string
	// Proto is the protocol that the caller used, "http" or "https".
	Proto string
}

// OriginOf returns the origin of a caller's request. The X-Forwarded headers count only if the
// sender is a trusted proxy. X-Forwarded-For is read from its end up to the first address that is
// not trusted, because a caller may have written the rest.
func OriginOf(r *http.Request, trusted []netip.Prefix) Origin {
	sender, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return Origin{For: unknownAddress, Proto: "http"}
	}
	address := normalizeAddress(sender.Addr())
	if !containsAddress(trusted, address) {
		return Origin{For: address.String(), Proto: "http"}
	}
	return Origin{For: trustedChain(r.Header[HeaderForwardedFor], address, trusted), Proto: protoOf(r.Header[HeaderForwardedProto])}
}

// ReceivedOrigin returns the origin that another entry daemon has determined. The caller must trust
// its sender.
func ReceivedOrigin(h http.Header) Origin {
	return Origin{For: h.Get(HeaderForwardedFor), Proto: h.Get(HeaderForwardedProto)}
}

// Set replaces all headers that describe the caller's connection by those of o. An empty field sets
// no header.
func (o Origin) Set(h http.Header) {
	for name := range h {
		if isForwardingHeader(name) {
			delete(h, name)
		}
	}
	if o.For != "" {
		h.Set(HeaderForwardedFor, o.For)
	}
	if o.Proto != "" {
		h.Set(HeaderForwardedProto, o.Proto)
	}
}

// isForwardingHeader reports whether a header describes the caller's connection, by RFC 7239 or by
// convention.
func isForwardingHeader(name string) bool {
	name = withHyphens(name)
	return strings.HasPrefix(name, "X-Forwarded-") || name == "Forwarded" || name == "X-Real-Ip"
}

// trustedChain returns the part of X-Forwarded-For that trusted proxies wrote, followed by the
// address of the sender.
func trustedChain(lines []string, sender netip.Addr, trusted []netip.Prefix) string {
	list := []string{sender.String()}
	listed := strings.Split(strings.Join(lines, ","), ",")
	for _, text := range slices.Backward(listed) {
		address, ok := parseAddress(strings.TrimSpace(text))
		if !ok {
			break
		}
		list = append(list, address.String())
		if !containsAddress(trusted, address) {
			break
		}
	}
	slices.Reverse(list)
	return strings.Join(list, ", ")
}

// parseAddress parses an IP address with or without a port, which some proxies add.
func parseAddress(text string) (netip.Addr, bool) {
	if address, err := netip.ParseAddr(text); err == nil {
		return normalizeAddress(address), true
	}
	withPort, err := netip.ParseAddrPort(text)
	return normalizeAddress(withPort.Addr()), err == nil
}

// normalizeAddress maps IPv4-in-IPv6 addresses to IPv4 and drops the zone.
func normalizeAddress(address netip.Addr) netip.Addr { return address.Unmap().WithZone("") }

func containsAddress(networks []netip.Prefix, address netip.Addr) bool {
	return slices.ContainsFunc(networks, func(network netip.Prefix) bool { return network.Contains(address) })
}

// protoOf returns the protocol that a trusted proxy reported. With several values it returns
// "http", because a caller may have written one of them.
func protoOf(lines []string) string {
	if len(lines) == 1 && strings.EqualFold(lines[0], "https") {
		return "https"
	}
	return "http"
}
