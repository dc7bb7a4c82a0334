package forward

import (
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"testing"
)

// Guards against a caller that forges its address or protocol. What a request says about its origin
// counts only as far as trusted proxies wrote it.
func TestOriginCountsTrustedProxiesOnly(t *testing.T) {
	trusted := []netip.Prefix{netip.MustParsePrefix("10.0.9.0/24"), netip.MustParsePrefix("fd00:9::/64")}
	const caller, proxy = "192.0.2.7:5", "10.0.9.1:5"
	for _, c := range []struct {
		name, sender       string
		addresses, proto   []string
		wantFor, wantProto string
	}{
		{"caller without headers", caller, nil, nil, "192.0.2.7", "http"},
		{"caller with headers", caller, []string{"203.0.113.1"}, []string{"https"}, "192.0.2.7", "http"},
		{"caller that names a proxy", caller, []string{"203.0.113.1, 10.0.9.1"}, nil, "192.0.2.7", "http"},
		{"IPv6 caller with zone", "[fe80::1%eth0]:5", nil, nil, "fe80::1", "http"},
		{"IPv4 caller on an IPv6 socket", "[::ffff:192.0.2.7]:5", nil, nil, "192.0.2.7", "http"},
		{"no address", "@", []string{"203.0.113.1"}, []string{"https"}, "unknown", "http"},
		{"proxy without headers", proxy, nil, nil, "10.0.9.1", "http"},
		{"proxy", proxy, []string{"192.0.2.7"}, []string{"https"}, "192.0.2.7, 10.0.9.1", "https"},
		{"proxy on an IPv6 socket", "[::ffff:10.0.9.1]:5", []string{"192.0.2.7"}, nil, "192.0.2.7, 10.0.9.1", "http"},
		{"two proxies", proxy, []string{"192.0.2.7, fd00:9::2"}, nil, "192.0.2.7, fd00:9::2, 10.0.9.1", "http"},
		{"two proxies on two lines", proxy, []string{"192.0.2.7", "fd00:9::2"}, nil, "192.0.2.7, fd00:9::2, 10.0.9.1", "http"},
		{"proxy that appends to forged addresses", proxy, []string{"203.0.113.1, 10.0.9.8, 192.0.2.7"}, nil, "192.0.2.7, 10.0.9.1", "http"},
		{"forged addresses on a line of their own", proxy, []string{"203.0.113.1", "192.0.2.7"}, nil, "192.0.2.7, 10.0.9.1", "http"},
		{"address with port", proxy, []string{"[2001:db8::7]:443"}, nil, "2001:db8::7, 10.0.9.1", "http"},
		{"text that is no address", proxy, []string{"203.0.113.1, _hidden, 10.0.9.2"}, nil, "10.0.9.2, 10.0.9.1", "http"},
		{"forged protocol before the proxy's", proxy, nil, []string{"https", "http"}, "10.0.9.1", "http"},
		{"list of protocols", proxy, nil, []string{"https, http"}, "10.0.9.1", "http"},
		{"unknown protocol", proxy, nil, []string{"javascript"}, "10.0.9.1", "http"},
	} {
		r := &http.Request{RemoteAddr: c.sender, Header: http.Header{HeaderForwardedFor: c.addresses, HeaderForwardedProto: c.proto}}
		if got, want := OriginOf(r, trusted), (Origin{c.wantFor, c.wantProto}); got != want {
			t.Errorf("%s: %+v, want %+v", c.name, got, want)
		}
	}
}

// Guards against a forged header that reaches a backend server beside the one set by the entry,
// also in a spelling that CGI reads as the same name.
func TestSetReplacesForgedHeaders(t *testing.T) {
	forged := func() http.Header {
		return http.Header{
			"X-Forwarded-For": {"203.0.113.1", "203.0.113.2"}, "X-Forwarded-Proto": {"https"}, "X-Forwarded-Host": {"x"}, "X-Forwarded-Port": {"1"},
			"Forwarded": {"for=203.0.113.1"}, "X-Real-Ip": {"203.0.113.1"}, "X_forwarded_for": {"203.0.113.1"}, "X_forwarded-Host": {"x"}, "X_real_ip": {"203.0.113.1"},
			"X-Forwarded": {"kept"}, "Accept": {"kept"},
		}
	}
	h := forged()
	Origin{"192.0.2.7", "http"}.Set(h)
	want := http.Header{"X-Forwarded-For": {"192.0.2.7"}, "X-Forwarded-Proto": {"http"}, "X-Forwarded": {"kept"}, "Accept": {"kept"}}
	if !maps.EqualFunc(h, want, slices.Equal) {
		t.Errorf("%v, want %v", h, want)
	}
	h = forged()
	Origin{}.Set(h)
	if len(h) != 2 {
		t.Errorf("without an origin the headers left are %v", h)
	}
}
