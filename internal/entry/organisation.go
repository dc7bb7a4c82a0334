package entry

import (
	"github.com/cowsliprun/cowsliprun/internal/catalog"
	"github.com/cowsliprun/cowsliprun/internal/dialect"
	"github.com/cowsliprun/cowsliprun/internal/errkind"
)

// identity is whom a request belongs to.
type identity struct {
	// customer is the organisation, or that of the route if there is none.
	customer *catalog.Customer
	// key identified the organisation in organisations, which are those of the configuration at the
	// latest check. They are nil if the configuration had none.
	key           catalog.KeyDigest
	organisations *catalog.Organisations
}

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

// confirmKey checks the key of a request again before a try, because the request may have waited for
// capacity since the latest check. It has not run if its key is not valid any more.
func (e *Entry) confirmKey(c *call) error {
	next, err := e.recheck(c.identity)
	if err == nil {
		c.identity = next
	}
	return err
}

// keyCheck returns a function that checks the key of the request, which any goroutine may call while
// a try lasts.
func (e *Entry) keyCheck(c *call) func() error {
	checked := c.identity
	return func() error {
		_, err := e.recheck(checked)
		return err
	}
}

// recheck returns the identity of a request in the configuration in force. Few requests see another
// one than at the latest check. The snapshot is taken after the keys were found to be confirmed, so
// that it is at least as new as the configuration that is trusted.
func (e *Entry) recheck(id identity) (identity, error) {
	if err := e.trustKey(id); err != nil {
		return id, err
	}
	snapshot := e.snapshot()
	if snapshot == nil || snapshot.Organisations() == id.organisations {
		return id, nil
	}
	inForce := snapshot.Organisations()
	if !id.customer.Organisation {
		return identity{customer: id.customer, organisations: inForce}, nil
	}
	if inForce == nil {
		return id, errkind.New(errkind.NoConfiguration, "the configuration changed and has no organisations any more")
	}
	organisation, err := e.customerOf(inForce, id.key)
	if err != nil {
		return id, err
	}
	if organisation.Name != id.customer.Name {
		return id, errkind.New(errkind.NoConfiguration, "the configuration changed and the API key belongs to another organisation now")
	}
	return identity{customer: organisation, key: id.key, organisations: inForce}, nil
}
