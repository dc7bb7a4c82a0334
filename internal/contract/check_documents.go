package contract

import (
	"fmt"
	"slices"
	"strings"
)

func (d *Contract) check(c *checker) {
	c.header(d.APIVersion, d.Kind, KindContract, d.Generation)
	c.name("customer", d.Customer)
	d.checkKeys(c)
	d.checkRoutes(c)
	inRange(c, "limits.ratePerSecond", true, d.Limits.RatePerSecond, minRatePerSecond, MaxRatePerSecond)
	inRange(c, "limits.burst", false, d.Limits.Burst, 1, MaxBurst)
	inRange(c, "limits.concurrency", true, d.Limits.Concurrency, 1, MaxConcurrency)
	inRange(c, "limits.maxRequestBytes", false, d.Limits.MaxRequestBytes, 1, MaxRequestBytes)
	c.deadline("deadline", d.Deadline)
	if d.RetryBudgetPercent != nil {
		between(c, "retryBudgetPercent", *d.RetryBudgetPercent, 0, 100)
	}
	if d.Priority != nil {
		between(c, "priority", *d.Priority, 0, MaxPriority)
	}
	c.oneOf("otherRegion", d.OtherRegion, otherRegions)
}

// minRatePerSecond is one request in about 17 minutes. A smaller rate would never admit a request within the life of a
// daemon.
const minRatePerSecond = 0.001

func (d *Contract) checkKeys(c *checker) {
	const field = "apiKeySHA256"
	if len(d.APIKeySHA256) == 0 || len(d.APIKeySHA256) > MaxAPIKeys {
		c.report(field, "required field; must list 1 to %d digests, has %d", MaxAPIKeys, len(d.APIKeySHA256))
	}
	for i, digest := range d.APIKeySHA256 {
		path := fmt.Sprintf("%s[%d]", field, i)
		switch {
		case !isDigest(digest):
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
	seen := map[string]int{}
	for i := range d.Routes {
		path := fmt.Sprintf("routes[%d]", i)
		d.Routes[i].check(c, path)
		// Routes are matched by path alone, so of two routes with the same prefix one would never be used. A slash at the
		// end makes no difference.
		prefix := strings.TrimSuffix(d.Routes[i].PathPrefix, "/")
		if first, repeated := seen[prefix]; repeated && d.Routes[i].PathPrefix != "" {
			c.report(path+".pathPrefix", "routes[%d] has the same prefix %q", first, d.Routes[first].PathPrefix)
		} else {
			seen[prefix] = i
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
		at := fmt.Sprintf("%s.methods[%d]", path, i)
		c.oneOf(at, method, httpMethods)
		if slices.Contains(r.Methods[:i], method) {
			c.report(at, "the method %q is listed twice", method)
		}
	}
	if c.has(path+".methods") && len(r.Methods) == 0 {
		c.report(path+".methods", "must not be empty; leave the field out to allow all methods")
	}
	c.name(path+".service", r.Service)
	c.deadline(path+".deadline", r.Deadline)
	if r.AtMostOnce && r.SafeToRepeat != nil && *r.SafeToRepeat {
		c.report(path+".safeToRepeat", "must not be true together with atMostOnce")
	}
}

func (d *Service) check(c *checker) {
	c.header(d.APIVersion, d.Kind, KindService, d.Generation)
	c.name("service", d.Service)
	inRange(c, "floorPercent", false, d.FloorPercent, 1, 100)
	c.oneOf("preset", d.Preset, presets)
	for name := range d.Detector {
		if !detectorPattern.MatchString(name) {
			c.report("detector."+name, "must be the name of a number of the detector")
		}
	}
	if c.detector != nil {
		for name, problem := range c.detector(d.Preset, d.Detector) {
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
		c.name(path+".id", b.ID)
		if b.ID != "" && seen[b.ID] {
			c.report(path+".id", "the backend server %q is listed twice", b.ID)
		}
		seen[b.ID] = true
		c.name(path+".vm", b.VM)
		c.address(path+".address", b.Address, true)
		inRange(c, path+".slots", false, b.Slots, 1, MaxSlots)
	}
}

func (d *VM) check(c *checker) {
	c.header(d.APIVersion, d.Kind, KindVM, d.Generation)
	c.name("vm", d.VM)
	c.name("dataCentre", d.DataCentre)
	c.address("peerAddress", d.PeerAddress, true)
	c.address("adminAddress", d.AdminAddress, false)
	if d.AdminAddress != "" && d.AdminAddress == d.PeerAddress {
		c.report("adminAddress", "must differ from peerAddress, both are %q", d.AdminAddress)
	}
}

func (d *DataCentre) check(c *checker) {
	c.header(d.APIVersion, d.Kind, KindDataCentre, d.Generation)
	c.name("dataCentre", d.DataCentre)
	c.name("region", d.Region)
}
