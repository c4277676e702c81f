// Package connhealth decides what a timeout says about a connection and about
// the peer behind it.
package connhealth
