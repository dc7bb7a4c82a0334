package entry

import (
	"net/http"
	"net/url"
	"path"
	"strings"

	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/errkind"
)

// checkTarget refuses methods and paths that a backend server or proxy could interpret differently.
func checkTarget(r *http.Request) *errkind.Error {
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions:
	default:
		// This includes CONNECT, which asks for a tunnel, and TRACE, which echoes headers that the
		// caller did not send.
		return errkind.New(errkind.MethodNotAllowed, "no contract can allow this method")
	}
	if !r.ProtoAtLeast(1, 1) && !isBodyless(r.Method) && len(r.Header["Content-Length"]) == 0 {
		// net/http ignores and hides Transfer-Encoding in HTTP/1.0, so the body could be lost
		// silently.
		return errkind.New(errkind.BadRequest, "an HTTP/1.0 request with a body needs Content-Length")
	}
	return checkPath(r.URL.Path)
}

// isChunkedHTTP1 reports whether the request is a chunked one over HTTP/1.x, whose connection must
// end with the response. net/http accepts a chunked request that also has a Content-Length, and
// hides that it had one. RFC 9112 section 6.1 requires closing the connection after such a request,
// because a proxy in front may take other bytes for the next request.
func isChunkedHTTP1(r *http.Request) bool { return r.ProtoMajor == 1 && len(r.TransferEncoding) > 0 }

// isBodyless reports whether requests with the method usually have no body.
func isBodyless(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

// checkPath refuses a path that is not absolute, has control characters, or has dot segments in any
// spelling. Backend servers differ in how they resolve those.
func checkPath(text string) *errkind.Error {
	if !strings.HasPrefix(text, "/") {
		return errkind.New(errkind.BadRequest, "the target must be an absolute path")
	}
	if strings.ContainsFunc(text, func(c rune) bool { return c < ' ' || c == 0x7f }) {
		return errkind.New(errkind.BadRequest, "the path has a control character")
	}
	for segment := range strings.FieldsFuncSeq(text, isSeparator) {
		if name, _, _ := strings.Cut(segment, ";"); name == "." || name == ".." {
			return errkind.New(errkind.BadRequest, "the path has a dot segment; send the resolved path")
		}
	}
	return nil
}

func isSeparator(c rune) bool { return c == '/' || c == '\\' }

// ambiguousPathDetail is the detail of the error for a path that isAmbiguous refuses.
const ambiguousPathDetail = "a backend server may read the path as one of another route; send it without doubled slashes, backslashes, encoded slashes and path parameters"

// isAmbiguous reports whether a backend server may read the target as a path of another route than
// the one found for u.Path. Without this check a caller could run an at-most-once operation without
// a key, for example with a doubled slash, which many backend servers drop.
func isAmbiguous(c *catalog.Customer, route *catalog.Route, u *url.URL) bool {
	if !strings.ContainsAny(u.Path, `\;`) && !strings.Contains(u.Path, "//") && u.RawPath == "" {
		return false // there is only one reading
	}
	for _, reading := range [...]string{cleanPath(u.Path), cleanPath(stripPathParameters(u.Path)), keepEncodedSlashes(u.EscapedPath())} {
		if c.RouteOf(route.Host, reading) != route {
			return true
		}
	}
	return false
}

// cleanPath reads backslashes as slashes and drops empty segments.
func cleanPath(text string) string { return path.Clean(strings.ReplaceAll(text, `\`, "/")) }

// stripPathParameters drops the part after a semicolon in each segment.
func stripPathParameters(text string) string {
	parts := strings.Split(text, "/")
	for i := range parts {
		parts[i], _, _ = strings.Cut(parts[i], ";")
	}
	return strings.Join(parts, "/")
}

// keepEncodedSlashes decodes the path, but keeps encoded slashes as parts of their segments.
func keepEncodedSlashes(escaped string) string {
	parts := strings.Split(escaped, "/")
	for i, part := range parts {
		if decoded, err := url.PathUnescape(part); err == nil {
			parts[i] = strings.ReplaceAll(decoded, "/", "%2F")
		}
	}
	return strings.Join(parts, "/")
}
