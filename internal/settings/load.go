package settings

import (
	"cmp"
	"errors"
	"fmt"
	"io/fs"
	"net"
	"net/netip"
	"net/url"
	"os"
	"slices"
	"strings"
	"time"
	"unicode"

	"github.com/cowsliprun/cowsliprun/internal/contract"
	"github.com/cowsliprun/cowsliprun/internal/strictyaml"
)

// Load reads the settings file and returns all its issues, ordered by line. If there are any, the
// settings must not be used: the caller prints one line per issue and exits with status 2.
func Load(file string) (Settings, strictyaml.Issues) {
	data, err := os.ReadFile(file)
	if err != nil {
		var pathError *fs.PathError
		if errors.As(err, &pathError) {
			err = pathError.Err
		}
		return Settings{}, strictyaml.Issues{{File: file, Message: "cannot read the settings file: " + err.Error()}}
	}
	return Parse(file, data)
}

// Parse reads settings from data, as Load does from a file. The name of the file is used only in
// issues.
func Parse(file string, data []byte) (Settings, strictyaml.Issues) {
	docs, issues := strictyaml.Split(file, data)
	switch {
	case len(issues) > 0:
		return Settings{}, issues
	case len(docs) == 0:
		return Settings{}, strictyaml.Issues{{File: file, Message: "the settings file is empty"}}
	case len(docs) > 1:
		return Settings{}, strictyaml.Issues{{File: file, Line: docs[1].Line, Message: "the settings file must contain one YAML document"}}
	}
	out := Default()
	c := checker{doc: docs[0], undecodable: map[string]bool{}}
	for _, issue := range docs[0].Decode(&out) {
		c.undecodable[issue.Path] = true
		c.issues = append(c.issues, issue)
	}
	c.check(&out)
	if out.Limits.Descriptors > 0 && !docs[0].Has("limits.maxConnections") {
		out.Limits.MaxConnections = connectionsFor(out.Limits.Descriptors)
	}
	return out, c.issues.Sort()
}

// reservedDescriptors are kept for listeners, files and connections to other daemons.
const reservedDescriptors = 300

// connectionsFor returns how many connections of callers the descriptors leave room for. A request
// of a caller needs one more towards a backend server at most.
func connectionsFor(descriptors int) int {
	return max(1, (descriptors-reservedDescriptors)/2)
}

// checker collects the issues of one settings document.
type checker struct {
	doc *strictyaml.Document
	// undecodable holds the paths of fields whose text could not be decoded.
	undecodable map[string]bool
	issues      strictyaml.Issues
}

// report adds an issue of the field at path.
func (c *checker) report(path, format string, args ...any) {
	// A field of the wrong type keeps its default. It is reported once, not again for that value.
	if !c.undecodable[path] {
		c.issues = append(c.issues, c.doc.Issue(path, format, args...))
	}
}

func (c *checker) check(s *Settings) {
	checkName := c.checkName
	if s.Registry.URL != "" {
		checkName = c.checkForeignName
	}
	checkName("vm", s.VM)
	checkName("dataCentre", s.DataCentre)
	checkName("region", s.Region)
	c.checkListen(&s.Listen)
	c.checkConfigurationSource(s)
	c.checkSeedPeers(s)
	c.checkNetworks("peerNetworks", s.PeerNetworks)
	c.checkNetworks("trustedProxies", s.TrustedProxies)
	c.checkLimits(&s.Limits)
	c.checkOneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	c.checkOneOf("log.format", s.Log.Format, "logfmt", "json")
}

func (c *checker) checkName(path, value string) {
	if problem := contract.NameProblem(value); problem != "" {
		c.report(path, "%s", problem)
	}
}

// maxForeignNameBytes bounds a name that a platform has chosen.
const maxForeignNameBytes = 255

// checkForeignName checks a name that a platform has chosen: any text that a header can carry.
func (c *checker) checkForeignName(path, value string) {
	switch {
	case value == "":
		c.report(path, "required field is missing or empty")
	case len(value) > maxForeignNameBytes || strings.ContainsFunc(value, unicode.IsControl):
		c.report(path, "must be 1 to %d bytes without control characters, is %q", maxForeignNameBytes, value)
	}
}

func (c *checker) checkOneOf(path, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		c.report(path, "must be one of %s, is %q", strings.Join(allowed, ", "), value)
	}
}

// checkRange reports a value that is not in the range from low to high, both included.
func checkRange[T cmp.Ordered](c *checker, path string, value, low, high T) {
	if value < low || value > high {
		c.report(path, "must be from %v to %v, is %v", low, high, value)
	}
}

func (c *checker) checkDuration(path string, value contract.Duration, low, high time.Duration) {
	checkRange(c, path, value, contract.Duration(low), contract.Duration(high))
}

// checkAddress checks a required host:port and reports whether it is valid.
func (c *checker) checkAddress(path, value string) bool {
	if value == "" && !c.doc.Has(path) {
		c.report(path, "required field is missing")
		return false
	}
	if problem := contract.AddressProblem(value); problem != "" {
		c.report(path, "%s", problem)
		return false
	}
	return true
}

func (c *checker) checkListen(l *Listen) {
	listeners := []struct{ path, address string }{{"listen.callers", l.Callers}, {"listen.peer", l.Peer}, {"listen.admin", l.Admin}}
	if l.Ready != "" {
		listeners = append(listeners, struct{ path, address string }{"listen.ready", l.Ready})
	}
	for i, listener := range listeners {
		if !c.checkAddress(listener.path, listener.address) {
			continue
		}
		for _, other := range listeners[:i] {
			if conflicts(listener.address, other.address) {
				c.report(listener.path, "the port conflicts with %s: %s and %s", other.path, listener.address, other.address)
			}
		}
	}
}

// conflicts reports whether listeners on the addresses a and b cannot both be opened: their ports
// are equal, and their hosts are equal or one of them stands for all hosts.
func conflicts(a, b string) bool {
	hostA, portA, errA := net.SplitHostPort(a)
	hostB, portB, errB := net.SplitHostPort(b)
	if errA != nil || errB != nil || portA != portB {
		return false
	}
	return hostA == hostB || isUnspecified(hostA) || isUnspecified(hostB)
}

func isUnspecified(host string) bool {
	addr, err := netip.ParseAddr(host)
	return err == nil && addr.IsUnspecified()
}

// checkConfigurationSource checks the settings of the configuration's source, which is either the
// configuration service or a registry.
func (c *checker) checkConfigurationSource(s *Settings) {
	if s.Registry.URL == "" {
		c.checkPlatform(&s.Platform)
		return
	}
	if len(s.Platform.URLs) > 0 {
		c.report("registry.url", "must be empty while platform.urls lists a configuration service")
	}
	c.checkURL("registry.url", s.Registry.URL)
	checkRange(c, "registry.floorShare", s.Registry.FloorShare, 0, 1)
	checkRange(c, "registry.retryRatio", s.Registry.RetryRatio, 0, 1)
	c.checkDuration("registry.retryWindow", s.Registry.RetryWindow, time.Second, 10*time.Minute)
	checkRange(c, "registry.retrySlack", s.Registry.RetrySlack, 0, 1_000_000)
	c.checkDuration("registry.revocationLimit", s.Registry.RevocationLimit, time.Second, 10*time.Minute)
	c.checkDuration("registry.quotaWindow", s.Registry.QuotaWindow, time.Second, 10*time.Minute)
	checkRange(c, "registry.quotaExcess", s.Registry.QuotaExcess, 0, 10)
	checkRange(c, "registry.quotaSlack", s.Registry.QuotaSlack, 0, 1_000_000)
	if a := s.Registry.Admission; a != "" && a != AdmissionQueue {
		c.report("registry.admission", "must be empty or %s, is %q", AdmissionQueue, a)
	}
	c.checkForeignName("application.service", s.Application.Service)
	c.checkAddress("application.address", s.Application.Address)
	for i, dc := range s.DataCentres {
		c.checkForeignName(fmt.Sprintf("dataCentres[%d].dataCentre", i), dc.DataCentre)
		c.checkForeignName(fmt.Sprintf("dataCentres[%d].region", i), dc.Region)
	}
}

func (c *checker) checkURL(path, text string) {
	u, err := url.Parse(text)
	switch {
	case err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Hostname() == "" || u.RawQuery != "" || u.Fragment != "":
		c.report(path, "must be a URL such as http://10.0.0.5:8500, is %q", text)
	case u.User != nil:
		c.report(path, "must not contain a user or a password")
	}
}

func (c *checker) checkPlatform(p *Platform) {
	if len(p.URLs) == 0 {
		c.report("platform.urls", "required field; must list at least one URL")
	}
	for i, text := range p.URLs {
		path := fmt.Sprintf("platform.urls[%d]", i)
		c.checkURL(path, text)
		if slices.Contains(p.URLs[:i], text) {
			c.report(path, "%s is listed twice", text)
		}
	}
	c.checkDuration("platform.requestTimeout", p.RequestTimeout, 100*time.Millisecond, time.Minute)
}

func (c *checker) checkSeedPeers(s *Settings) {
	seen := map[string]bool{}
	for i, peer := range s.SeedPeers {
		path := fmt.Sprintf("seedPeers[%d]", i)
		if c.checkAddress(path+".address", peer.Address) {
			switch {
			case seen[peer.Address]:
				c.report(path+".address", "the peer %s is listed twice", peer.Address)
			case peer.Address == s.Listen.Peer:
				c.report(path+".address", "%s is the daemon's own peer listener", peer.Address)
			}
			seen[peer.Address] = true
		}
		c.checkName(path+".dataCentre", peer.DataCentre)
	}
}

func (c *checker) checkNetworks(field string, networks []string) {
	for i, text := range networks {
		path := fmt.Sprintf("%s[%d]", field, i)
		network, err := netip.ParsePrefix(text)
		switch {
		case err != nil:
			c.report(path, "must be a network such as 10.0.0.0/16, is %q", text)
		case network.Addr().Is4In6():
			c.report(path, "must be written as an IPv4 network, is %q", text)
		case network != network.Masked():
			c.report(path, "has bits set beyond its prefix; write %s", network.Masked())
		case network.Bits() == 0:
			c.report(path, "must not contain all addresses")
		case slices.Contains(networks[:i], text):
			c.report(path, "%s is listed twice", text)
		}
	}
}

func (c *checker) checkLimits(l *Limits) {
	checkRange(c, "limits.maxHeaderBytes", l.MaxHeaderBytes, 4<<10, 1<<20)
	checkRange(c, "limits.maxConnections", l.MaxConnections, 1, 1_000_000)
	checkRange(c, "limits.descriptors", l.Descriptors, 0, 10_000_000)
	checkRange(c, "limits.linkMbps", l.LinkMbps, 0, 1_000_000)
	c.checkDuration("limits.headerTimeout", l.HeaderTimeout, 100*time.Millisecond, 5*time.Minute)
	c.checkDuration("limits.bodyStallTimeout", l.BodyStallTimeout, 100*time.Millisecond, 5*time.Minute)
	c.checkDuration("limits.writeStallTimeout", l.WriteStallTimeout, 100*time.Millisecond, 5*time.Minute)
	c.checkDuration("limits.idleTimeout", l.IdleTimeout, time.Second, time.Hour)
	c.checkDuration("limits.drainStopLimit", l.DrainStopLimit, time.Second, time.Hour)
	checkRange(c, "limits.controlMemoryBytes", l.ControlMemoryBytes, 16<<20, 1<<30)
}
