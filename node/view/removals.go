package view

import (
	"slices"
	"time"
)

// span is a part of a log that a view knows only by the values that were the newest at
// its end, among which removals do not appear.
type span struct {
	from, to int64
	at       time.Duration // when the view skipped it
}

// skipTo records that the view goes on at the given end of a log without the records
// before it. Keys of the log System are never removed.
func (v *View) skipTo(l Log, end int64) {
	if l == System {
		return
	}
	from := int64(0)
	if v.known[l] {
		from = v.ends[l]
	}
	now := v.now()
	v.unread[l] = slices.DeleteFunc(v.unread[l], func(s span) bool { return now > s.at+tombstoneTTL })
	v.unread[l] = append(v.unread[l], span{from, end, now})
}

// mayMissRemovals reports whether a VM that knows a log up to end may lack removals that
// this view does not know either.
func (v *View) mayMissRemovals(l Log, end int64) bool {
	return slices.ContainsFunc(v.unread[l], func(s span) bool { return s.from < end && end < s.to })
}

// isRemovedBefore reports whether a change from another VM is of a key that is unknown
// although the newest values of all keys were read later: it was removed meanwhile.
func (v *View) isRemovedBefore(c *Change) bool {
	return v.entries[c.Log][c.Key] == nil && slices.ContainsFunc(v.unread[c.Log], func(s span) bool { return c.Offset < s.to })
}
