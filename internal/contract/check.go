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

// Ranges of the fields. docs/contracts.md lists them.
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

// ReservedPathPrefix is served by the system itself, so no route may lie under it.
const ReservedPathPrefix = "/.cowslip"

var (
	detectorPattern = regexp.MustCompile(`^[a-z][A-Za-z0-9]*$`)
	hostPattern     = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9.-]*[A-Za-z0-9])?$`)

	httpMethods  = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}
	presets      = []string{"fast-detection", "few-false-ejections"}
	otherRegions = []string{"never", "spill"}
)

// DetectorCheck checks the detector overrides of a service and returns one message per faulty name. The package that owns
// the detector supplies it; without it only the form of the names is checked.
type DetectorCheck func(preset string, overrides map[string]float64) map[string]string

// checker collects the faults of one document.
type checker struct {
	report   func(path, format string, args ...any)
	has      func(path string) bool // whether an optional field was given
	detector DetectorCheck
}

func (c *checker) name(path, value string) {
	if problem := NameProblem(value); problem != "" {
		c.report(path, "%s", problem)
	}
}

// NameProblem says why text is no name of a customer, service, VM, data centre, region or backend server, or returns an
// empty text.
func NameProblem(text string) string {
	switch {
	case text == "":
		return "required field is missing or empty"
	case len(text) > MaxNameLength || !isName(text):
		return fmt.Sprintf("must be 1 to %d letters, digits, '.', '_' or '-', beginning and ending with a letter or digit, is %q", MaxNameLength, text)
	}
	return ""
}

// isName uses a loop instead of a regular expression because each decoded value checks up to thousands of names.
func isName(text string) bool {
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

func isDigest(text string) bool {
	for i := range len(text) {
		if (text[i] < '0' || text[i] > '9') && (text[i] < 'a' || text[i] > 'f') {
			return false
		}
	}
	return len(text) == hex.EncodedLen(sha256.Size)
}

func (c *checker) header(apiVersion, kind, wantKind string, generation uint64) {
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

// inRange checks a required number, and an optional one when it was given.
func inRange[T cmp.Ordered](c *checker, path string, required bool, value, low, high T) {
	var zero T
	if value == zero && !c.has(path) {
		if required {
			c.report(path, "required field is missing")
		}
		return
	}
	between(c, path, value, low, high)
}

func between[T cmp.Ordered](c *checker, path string, value, low, high T) {
	if value < low || value > high {
		c.report(path, "must be from %v to %v, is %v", low, high, value)
	}
}

func (c *checker) deadline(path string, d Duration) {
	inRange(c, path, false, d, Duration(MinDeadline), Duration(MaxDeadline))
}

func (c *checker) oneOf(path, value string, allowed []string) {
	if (value != "" || c.has(path)) && !slices.Contains(allowed, value) {
		c.report(path, "must be one of %s, is %q", strings.Join(allowed, ", "), value)
	}
}

func (c *checker) address(path, value string, required bool) {
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

// AddressProblem says why text is no host:port, or returns an empty text.
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
	if !hostPattern.MatchString(host) || strings.Contains(host, "..") || strings.Trim(host, "0123456789.") == "" {
		return fmt.Sprintf("the host must be an IP address or a host name, is %q", host)
	}
	return ""
}

// pathProblem says why text is no absolute path in its shortest form, or returns an empty text. Dot segments, doubled
// slashes and escapes are refused because a backend server may resolve them to a path of another route.
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

func hasPathPrefix(path, prefix string) bool {
	return path == prefix || strings.HasPrefix(path, prefix+"/")
}
