// Package retry decides whether a request may be sent again: reads within a
// budget that is a share of traffic, writes only when the first attempt
// provably did not run.
package retry
