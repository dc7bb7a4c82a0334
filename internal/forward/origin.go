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

// unknownAddress stands for an address that cannot be read.
const unknownAddress = "unknown"

// Origin is what backend servers are told about the caller's connection.
type Origin struct {
	// For lists addresses, the caller's first, and after it the trusted proxies that the request passed.
	For string
	// Proto is the protocol that the caller used, "http" or "https".
	Proto string
}

// OriginOf returns the origin of a caller's request. What the request states about it counts only when it comes from a trusted
// proxy, and only up to the first address that is not one: the part before that was written by a caller.
func OriginOf(r *http.Request, trusted []netip.Prefix) Origin {
	sender, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return Origin{For: unknownAddress, Proto: "http"}
	}
	address := plain(sender.Addr())
	if !contains(trusted, address) {
		return Origin{For: address.String(), Proto: "http"}
	}
	return Origin{For: chain(r.Header[HeaderForwardedFor], address, trusted), Proto: protoOf(r.Header[HeaderForwardedProto])}
}

// ReceivedOrigin returns the origin that another entry has determined.
func ReceivedOrigin(h http.Header) Origin {
	return Origin{For: h.Get(HeaderForwardedFor), Proto: h.Get(HeaderForwardedProto)}
}

// Set replaces all that the header states about the caller's connection.
func (o Origin) Set(h http.Header) {
	for name := range h {
		if isForwarding(name) {
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

// isForwarding reports whether a header states something about the caller's connection, by RFC 7239 or by custom.
func isForwarding(name string) bool {
	name = withHyphens(name)
	return strings.HasPrefix(name, "X-Forwarded-") || name == "Forwarded" || name == "X-Real-Ip"
}

// chain returns the trusted end of a list of addresses, followed by the address of its sender.
func chain(lines []string, sender netip.Addr, trusted []netip.Prefix) string {
	list := []string{sender.String()}
	stated := strings.Split(strings.Join(lines, ","), ",")
	for _, text := range slices.Backward(stated) {
		address, ok := parseAddress(strings.TrimSpace(text))
		if !ok {
			break
		}
		list = append(list, address.String())
		if !contains(trusted, address) {
			break
		}
	}
	slices.Reverse(list)
	return strings.Join(list, ", ")
}

// parseAddress reads an IP address. Some proxies add the port.
func parseAddress(text string) (netip.Addr, bool) {
	if address, err := netip.ParseAddr(text); err == nil {
		return plain(address), true
	}
	withPort, err := netip.ParseAddrPort(text)
	return plain(withPort.Addr()), err == nil
}

func plain(address netip.Addr) netip.Addr { return address.Unmap().WithZone("") }

func contains(networks []netip.Prefix, address netip.Addr) bool {
	return slices.ContainsFunc(networks, func(network netip.Prefix) bool { return network.Contains(address) })
}

// protoOf returns the protocol that a trusted proxy states. Several values may hold one that a caller wrote.
func protoOf(lines []string) string {
	if len(lines) == 1 && strings.EqualFold(lines[0], "https") {
		return "https"
	}
	return "http"
}
