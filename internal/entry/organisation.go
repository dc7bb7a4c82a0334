package entry

import (
	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/dialect"
	"github.com/cowsliprun/cowsliprun/internal/errkind"
)

// routePriorities is the number of priorities of routes, which are from 0 to 9. Requests of different
// organisations are that much apart.
const routePriorities = 10

// priority returns the priority of the request in queues: that of its organisation first, then that of
// the route, or else of the customer. A request without an organisation counts as one of the most
// urgent organisation, because it is a call of work that is already running.
func (c *call) priority() int {
	priority := c.customer.Priority
	if c.route.Priority != nil {
		priority = *c.route.Priority
	}
	return priority - c.customer.Rank*routePriorities
}

// identify sets the organisation of a request. It does nothing if the configuration has no
// organisations, or if the route is anonymous.
func (e *Entry) identify(c *call, caller dialect.Caller) error {
	if c.organisations == nil || c.route.Anonymous {
		return nil
	}
	if caller.APIKey == "" {
		return errkind.New(errkind.Unauthenticated, "the request has no API key, and its route needs one")
	}
	c.key = catalog.DigestOf(caller.APIKey)
	organisation, err := e.customerOf(c.organisations, c.key)
	if err != nil {
		return err
	}
	c.customer = organisation
	return nil
}

// customerOf returns the organisation that the key identifies. Until a newer configuration that is on
// its way is there, an unknown key may be known in it.
func (e *Entry) customerOf(organisations *catalog.Organisations, key catalog.KeyDigest) (*catalog.Customer, error) {
	organisation := organisations.ByKey(key)
	switch {
	case organisation == nil && e.outdated():
		return nil, errkind.New(errkind.NoConfiguration, "a newer configuration is on its way; the present one does not have the API key")
	case organisation == nil:
		return nil, errkind.New(errkind.Unauthenticated, "no organisation has the API key of the request")
	case organisation.LimitsUnknown:
		e.log.Warn("Requests of an organisation are refused, because its limits cannot be read.", "organisation", organisation.Name)
		return nil, errkind.New(errkind.RateLimited, "the limits of the organisation cannot be read")
	}
	return organisation, nil
}

// confirmKey checks the key of a request again before a hand-over, if the organisations have changed
// since the latest check. The request may have waited for capacity meanwhile. It has not run.
func (e *Entry) confirmKey(c *call) error {
	snapshot := e.snapshot()
	if snapshot == nil || snapshot.Organisations() == c.organisations {
		return nil
	}
	c.organisations = snapshot.Organisations()
	if !c.customer.Organisation {
		return nil
	}
	if c.organisations == nil {
		return errkind.New(errkind.NoConfiguration, "the configuration changed and has no organisations any more")
	}
	organisation, err := e.customerOf(c.organisations, c.key)
	if err != nil {
		return err
	}
	if organisation.Name != c.customer.Name {
		return errkind.New(errkind.NoConfiguration, "the configuration changed and the API key belongs to another organisation now")
	}
	c.customer = organisation
	return nil
}
