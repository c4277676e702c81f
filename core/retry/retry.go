// Package retry decides whether a request may be retried. Reads are retried
// within a budget that is a share of the traffic; writes are retried only if no
// earlier attempt can have run.
package retry
