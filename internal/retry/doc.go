// Package retry decides whether a failed request may be tried again on another backend server, and
// keeps the retry budgets that bound how much load retries add.
//
// The daemon that accepted the request, the entry, tries a backend server through its home daemon,
// the daemon on the VM of the backend server. A try is one such attempt.
//
// A request is tried again only if it certainly did not run, or if its route is repeatable. Two
// token buckets for each customer and service bound the retries:
//
//   - One is for retries of tries that may have run. It is filled by the customer's percentage of
//     its requests.
//   - A larger one is for retries of tries that were refused before they ran. Full or ejected
//     backend servers refuse many requests at once when a service is slow, and unbounded retries of
//     those would multiply the work of the service's home daemons.
package retry
