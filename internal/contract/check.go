package contract

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// The accepted ranges of document fields. Lengths are in bytes; MaxRatePerSecond is in requests per
// second, MaxBurst, MaxConcurrency and MaxSlots in requests.
const (
	MaxNameLength     = 63
	MaxAPIKeys        = 16
	MaxRoutes         = 256
	MaxPathLength     = 1024
	MaxRatePerSecond  = 1e6
	MaxBurst          = 1_000_000
	MaxConcurrency    = 1_000_000
	MaxRequestBytes   = 10 << 30 // 10 GiB
	MinDeadline       = time.Millisecond
	MaxDeadline       = time.Hour
	MaxPriority       = 9
	MaxBackendServers = 1024
	MaxSlots          = 10_000
)

// ReservedPathPrefix is the path prefix of the daemon's own endpoints, so no route may lie under
// it.
const ReservedPathPrefix = "/.cowslip"

var (
	detectorParameterPattern = regexp.MustCompile(`^[a-z][A-Za-z0-9]*$`)
	hostNamePattern          = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9.-]*[A-Za-z0-9])?$`)

	httpMethods  = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}
	presets      = []string{"fast-detection", "few-false-ejections"}
	otherRegions = []string{"never", "spill"}
)

// DetectorCheck checks the detector overrides of a service for a preset, and returns one message
// per invalid override, by name. The caller supplies it, because this package does not import the
// outlier detector. If it is nil, only the form of the names is checked.
type DetectorCheck func(preset string, overrides map[string]float64) map[string]string

// checker holds what the checks of one document need, and reports the issues that they find.
type checker struct {
	report        func(path, format string, args ...any)
	has           func(path string) bool // whether the document contains the field; always false for JSON values
	checkDetector DetectorCheck
}

func (c *checker) checkName(path, value string) {
	if problem := NameProblem(value); problem != "" {
		c.report(path, "%s", problem)
	}
}

// NameProblem returns why text is not a valid name of a customer, service, VM, data centre, region
// or backend server, or an empty string if it is valid.
func NameProblem(text string) string {
	switch {
	case text == "":
		return "required field is missing or empty"
	case len(text) > MaxNameLength || !isValidName(text):
		return fmt.Sprintf("must be 1 to %d letters, digits, '.', '_' or '-', beginning and ending with a letter or digit, is %q", MaxNameLength, text)
	}
	return ""
}

// isValidName reports whether text has the form of a name; the length is not checked. It uses a
// loop instead of a regular expression, because decoding one value can check thousands of names.
func isValidName(text string) bool {
	for i := range len(text) {
		inner := i > 0 && i < len(text)-1 && strings.IndexByte("._-", text[i]) >= 0
		if !inner && !isAlphanumeric(text[i]) {
			return false
		}
	}
	return text != ""
}

func isAlphanumeric(b byte) bool {
	return b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9'
}

// isSHA256Hex reports whether text is a SHA-256 digest in lower-case hex digits.
func isSHA256Hex(text string) bool {
	for i := range len(text) {
		if (text[i] < '0' || text[i] > '9') && (text[i] < 'a' || text[i] > 'f') {
			return false
		}
	}
	return len(text) == hex.EncodedLen(sha256.Size)
}

// checkHeader checks the fields that all kinds of document have.
func (c *checker) checkHeader(apiVersion, kind, wantKind string, generation uint64) {
	if apiVersion != APIVersion {
		c.report("apiVersion", "must be %q, is %q", APIVersion, apiVersion)
	}
	if kind != wantKind {
		c.report("kind", "must be %q, is %q", wantKind, kind)
	}
	if generation == 0 {
		c.report("generation", "required field; must be at least 1 and grow with each change")
	}
}

// checkNumber checks the range of a number. Zero counts as missing unless the document contains the
// field; a missing field is an issue only if it is required.
func checkNumber[T cmp.Ordered](c *checker, path string, required bool, value, low, high T) {
	var zero T
	if value == zero && !c.has(path) {
		if required {
			c.report(path, "required field is missing")
		}
		return
	}
	checkRange(c, path, value, low, high)
}

func checkRange[T cmp.Ordered](c *checker, path string, value, low, high T) {
	if value < low || value > high {
		c.report(path, "must be from %v to %v, is %v", low, high, value)
	}
}

func (c *checker) checkDeadline(path string, d Duration) {
	checkNumber(c, path, false, d, Duration(MinDeadline), Duration(MaxDeadline))
}

// checkOneOf checks a choice. A missing field is accepted.
func (c *checker) checkOneOf(path, value string, allowed []string) {
	if (value != "" || c.has(path)) && !slices.Contains(allowed, value) {
		c.report(path, "must be one of %s, is %q", strings.Join(allowed, ", "), value)
	}
}

func (c *checker) checkAddress(path, value string, required bool) {
	if value == "" && !c.has(path) {
		if required {
			c.report(path, "required field is missing")
		}
		return
	}
	if problem := AddressProblem(value); problem != "" {
		c.report(path, "%s", problem)
	}
}

// AddressProblem returns why text is not a host:port with a port from 1 to 65535, or an empty
// string if it is. Host names are not resolved.
func AddressProblem(text string) string {
	host, port, err := net.SplitHostPort(text)
	if err != nil {
		return fmt.Sprintf("must be host:port, is %q", text)
	}
	if n, err := strconv.Atoi(port); err != nil || n < 1 || n > 65535 || strconv.Itoa(n) != port {
		return fmt.Sprintf("the port must be from 1 to 65535, is %q", port)
	}
	if _, err := netip.ParseAddr(host); err == nil {
		return ""
	}
	if !hostNamePattern.MatchString(host) || strings.Contains(host, "..") || strings.Trim(host, "0123456789.") == "" {
		return fmt.Sprintf("the host must be an IP address or a host name, is %q", host)
	}
	return ""
}

// pathProblem returns why text is not a normalized absolute URL path, or an empty string if it is.
// Dot segments, double slashes and percent escapes are refused, because a backend server may
// resolve them to a path of another route.
func pathProblem(text string) string {
	switch {
	case !strings.HasPrefix(text, "/"):
		return fmt.Sprintf("must begin with '/', is %q", text)
	case len(text) > MaxPathLength:
		return fmt.Sprintf("must be at most %d bytes long, has %d", MaxPathLength, len(text))
	case strings.ContainsFunc(text, func(r rune) bool { return r <= ' ' || r > '~' || strings.ContainsRune(`?#%\`, r) }):
		return fmt.Sprintf("must be plain printable ASCII without space, '?', '#', '%%' or '\\', is %q", text)
	case strings.Contains(text, "//"):
		return fmt.Sprintf("must not contain \"//\", is %q", text)
	}
	for segment := range strings.SplitSeq(text, "/") {
		if segment == "." || segment == ".." {
			return fmt.Sprintf("must not contain the segment %q, is %q", segment, text)
		}
	}
	return ""
}

// hasPathPrefix reports whether path is prefix or lies under it, by whole path segments.
func hasPathPrefix(path, prefix string) bool {
	return path == prefix || strings.HasPrefix(path, prefix+"/")
}
