package contract

import (
	"fmt"
	"slices"
	"strings"
)

func (d *Contract) check(c *checker) {
	c.checkHeader(d.APIVersion, d.Kind, KindContract, d.Generation)
	c.checkName("customer", d.Customer)
	d.checkAPIKeys(c)
	d.checkRoutes(c)
	checkNumber(c, "limits.ratePerSecond", true, d.Limits.RatePerSecond, minRatePerSecond, MaxRatePerSecond)
	checkNumber(c, "limits.burst", false, d.Limits.Burst, 1, MaxBurst)
	checkNumber(c, "limits.concurrency", true, d.Limits.Concurrency, 1, MaxConcurrency)
	checkNumber(c, "limits.maxRequestBytes", false, d.Limits.MaxRequestBytes, 1, MaxRequestBytes)
	c.checkDeadline("deadline", d.Deadline)
	if d.RetryBudgetPercent != nil {
		checkRange(c, "retryBudgetPercent", *d.RetryBudgetPercent, 0, 100)
	}
	if d.Priority != nil {
		checkRange(c, "priority", *d.Priority, 0, MaxPriority)
	}
	c.checkOneOf("otherRegion", d.OtherRegion, otherRegions)
}

// minRatePerSecond is the lowest accepted rate, one request in about 17 minutes. With a lower rate,
// a daemon might never admit a request in its lifetime.
const minRatePerSecond = 0.001

func (d *Contract) checkAPIKeys(c *checker) {
	const field = "apiKeySHA256"
	if len(d.APIKeySHA256) == 0 || len(d.APIKeySHA256) > MaxAPIKeys {
		c.report(field, "required field; must list 1 to %d digests, has %d", MaxAPIKeys, len(d.APIKeySHA256))
	}
	for i, digest := range d.APIKeySHA256 {
		path := fmt.Sprintf("%s[%d]", field, i)
		switch {
		case !isSHA256Hex(digest):
			c.report(path, "must be a SHA-256 digest as 64 lower-case hex digits, has %d characters", len(digest))
		case slices.Contains(d.APIKeySHA256[:i], digest):
			c.report(path, "the same digest is listed twice")
		}
	}
}

func (d *Contract) checkRoutes(c *checker) {
	if d.Routes == nil && !c.has("routes") {
		c.report("routes", "required field is missing; write [] for none")
	}
	if len(d.Routes) > MaxRoutes {
		c.report("routes", "must list at most %d routes, has %d", MaxRoutes, len(d.Routes))
	}
	firstByPrefix := map[string]int{}
	for i := range d.Routes {
		path := fmt.Sprintf("routes[%d]", i)
		d.Routes[i].check(c, path)
		// Routes are matched by path alone, so the second of two routes with the same prefix would
		// never match. A trailing slash makes no difference.
		prefix := strings.TrimSuffix(d.Routes[i].PathPrefix, "/")
		if first, repeated := firstByPrefix[prefix]; repeated && d.Routes[i].PathPrefix != "" {
			c.report(path+".pathPrefix", "routes[%d] has the same prefix %q", first, d.Routes[first].PathPrefix)
		} else {
			firstByPrefix[prefix] = i
		}
	}
}

func (r *Route) check(c *checker, path string) {
	if r.PathPrefix == "" {
		c.report(path+".pathPrefix", "required field is missing or empty")
	} else if problem := pathProblem(r.PathPrefix); problem != "" {
		c.report(path+".pathPrefix", "%s", problem)
	} else if hasPathPrefix(r.PathPrefix, ReservedPathPrefix) {
		c.report(path+".pathPrefix", "%q is reserved for the system", ReservedPathPrefix)
	}
	for i, method := range r.Methods {
		methodPath := fmt.Sprintf("%s.methods[%d]", path, i)
		c.checkOneOf(methodPath, method, httpMethods)
		if slices.Contains(r.Methods[:i], method) {
			c.report(methodPath, "the method %q is listed twice", method)
		}
	}
	if c.has(path+".methods") && len(r.Methods) == 0 {
		c.report(path+".methods", "must not be empty; leave the field out to allow all methods")
	}
	c.checkName(path+".service", r.Service)
	c.checkDeadline(path+".deadline", r.Deadline)
	if r.AtMostOnce && r.SafeToRepeat != nil && *r.SafeToRepeat {
		c.report(path+".safeToRepeat", "must not be true together with atMostOnce")
	}
}

func (d *Service) check(c *checker) {
	c.checkHeader(d.APIVersion, d.Kind, KindService, d.Generation)
	c.checkName("service", d.Service)
	checkNumber(c, "floorPercent", false, d.FloorPercent, 1, 100)
	c.checkOneOf("preset", d.Preset, presets)
	for name := range d.Detector {
		if !detectorParameterPattern.MatchString(name) {
			c.report("detector."+name, "must be the name of a detector parameter: a lower-case letter, then letters and digits")
		}
	}
	if c.checkDetector != nil {
		for name, problem := range c.checkDetector(d.Preset, d.Detector) {
			c.report("detector."+name, "%s", problem)
		}
	}
	if d.HealthPath != "" || c.has("healthPath") {
		if problem := pathProblem(d.HealthPath); problem != "" {
			c.report("healthPath", "%s", problem)
		}
	}
	d.checkBackendServers(c)
}

func (d *Service) checkBackendServers(c *checker) {
	const field = "backendServers"
	if len(d.BackendServers) == 0 || len(d.BackendServers) > MaxBackendServers {
		c.report(field, "required field; must list 1 to %d backend servers, has %d", MaxBackendServers, len(d.BackendServers))
	}
	seen := map[string]bool{}
	for i := range d.BackendServers {
		b, path := &d.BackendServers[i], fmt.Sprintf("%s[%d]", field, i)
		c.checkName(path+".id", b.ID)
		if b.ID != "" && seen[b.ID] {
			c.report(path+".id", "the backend server %q is listed twice", b.ID)
		}
		seen[b.ID] = true
		c.checkName(path+".vm", b.VM)
		c.checkAddress(path+".address", b.Address, true)
		checkNumber(c, path+".slots", false, b.Slots, 1, MaxSlots)
	}
}

func (d *VM) check(c *checker) {
	c.checkHeader(d.APIVersion, d.Kind, KindVM, d.Generation)
	c.checkName("vm", d.VM)
	c.checkName("dataCentre", d.DataCentre)
	c.checkAddress("peerAddress", d.PeerAddress, true)
	c.checkAddress("adminAddress", d.AdminAddress, false)
	if d.AdminAddress != "" && d.AdminAddress == d.PeerAddress {
		c.report("adminAddress", "must differ from peerAddress, both are %q", d.AdminAddress)
	}
}

func (d *DataCentre) check(c *checker) {
	c.checkHeader(d.APIVersion, d.Kind, KindDataCentre, d.Generation)
	c.checkName("dataCentre", d.DataCentre)
	c.checkName("region", d.Region)
}
