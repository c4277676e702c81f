// Package quarantine keeps requests that crash targets from running on one
// target after another.
package quarantine
