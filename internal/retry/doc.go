// Package retry decides whether a request may be tried again on another backend server.
//
// A request is tried again only when it was not run for certain, or when its route is repeatable. Two token buckets per
// customer and service bound what retries add: one for tries that may have run, filled by the customer's percentage of
// its requests, and a larger one for tries that were refused unrun. The second one exists because refusals by full or
// ejected backend servers come all at once when a service is slow, and would multiply the work of its homes.
package retry
