// Package retry decides whether a request may be retried: a write only if no
// attempt can have run it. Budget limits the retries to a share of the traffic.
package retry
