// Package quarantine detects requests that crash targets, from the requests
// that were in flight at each crash. A request that was in flight at one crash
// becomes suspect and may only run alone. If it runs alone to its end, it is no
// longer suspect; if it was in flight at a second crash, it is refused for a
// while.
package quarantine
