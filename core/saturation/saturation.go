// Package saturation decides when a leader is so busy that its cell should be led by a
// larger VM. It handles a load that grows until the leader answers late: by then all VMs
// lend locally, and a handover needs the same processor time and link as the requests.
//
// The package does no I/O and reads no clock: times are readings of a monotonic clock
// that the caller passes in.
package saturation

import (
	"math"
	"time"
)

// Size is the capacity of a VM.
type Size struct {
	Cores    float64 // processor time, in cores
	LinkMbps float64 // 0 if unknown, which counts as the largest
}

// Sample is the load of a VM since the previous sample.
type Sample struct {
	CPU  float64 // used share of the VM's processor time
	Link float64 // used share of the VM's link; 0 if its bandwidth is unknown
	// Lag is by how much work began later than it was due, as decisions do.
	Lag time.Duration
}

// Resource is what a leader runs short of.
type Resource string

// The resources. None means that the leader is not saturated.
const (
	None Resource = ""
	CPU  Resource = "processor time"
	Link Resource = "link"
)

const (
	// smoothing is the time constant of the averages of samples. Bursts of 1.7 times the
	// load last for about a second and pass without a handover.
	smoothing = time.Second
	// busyShare is the share of a resource from which on a leader is busy. A handover takes up
	// to 1.5 s, and load grows by a third within that time on the steepest days.
	busyShare = 0.7
	// busyLag is the lag from which on a leader is busy also at lagShare of its processor
	// time. It is half of the shortest objective of the deployments; the processor may be
	// withheld from a VM that uses less than its share.
	busyLag  = 50 * time.Millisecond
	lagShare = 0.5
	// busyFor is how long a leader has to be busy.
	busyFor = 2 * time.Second
	// settleFor is how long a VM leads before it counts as busy: requests that waited for a
	// leader make it busy at first.
	settleFor = 10 * time.Second
	// minRetry and maxRetry bound the time to the next attempt after one that failed,
	// which doubles with each.
	minRetry = 10 * time.Second
	maxRetry = 2 * time.Minute
	// clearlyMore is the factor by which another VM has to have more of what a leader runs
	// short of.
	clearlyMore = 1.5
)

// Monitor decides when a VM hands over a cell that it leads. The zero Monitor is ready for
// use.
type Monitor struct {
	leads     bool
	leadsFrom time.Duration
	sampledAt time.Duration
	average   Sample
	busy      Resource // since busyFrom
	busyFrom  time.Duration
	retryAt   time.Duration
	retry     time.Duration
}

// Idle records that this VM leads no cell that a larger VM could lead.
func (m *Monitor) Idle() { *m = Monitor{} }

// Observe adds a sample and returns what the VM runs short of if it should now hand over a
// cell. Such an answer counts as an attempt: the next one comes after a growing time.
func (m *Monitor) Observe(now time.Duration, s Sample) Resource {
	if !m.leads {
		m.leads, m.leadsFrom, m.sampledAt, m.average = true, now, now, s
		return None
	}
	weight := 1 - math.Exp(-float64(now-m.sampledAt)/float64(smoothing))
	m.sampledAt = now
	m.average.CPU += weight * (s.CPU - m.average.CPU)
	m.average.Link += weight * (s.Link - m.average.Link)
	m.average.Lag += time.Duration(weight * float64(s.Lag-m.average.Lag))
	if busy := m.average.busy(); busy != m.busy {
		m.busy, m.busyFrom = busy, now
	}
	if m.busy == None || now-m.busyFrom < busyFor || now-m.leadsFrom < settleFor || now < m.retryAt {
		return None
	}
	m.retry = min(max(2*m.retry, minRetry), maxRetry)
	m.retryAt = now + m.retry
	return m.busy
}

// Average returns the present averages of the samples.
func (m *Monitor) Average() Sample { return m.average }

func (s Sample) busy() Resource {
	switch {
	case s.Link >= busyShare && s.Link >= s.CPU:
		return Link
	case s.CPU >= busyShare || s.CPU >= lagShare && s.Lag >= busyLag:
		return CPU
	}
	return None
}

// ClearlyLarger reports whether a VM has clearly more of a resource than another one and
// not less of the other resource. Cells that are handed over only to such VMs never come
// back, so that the VMs do not pass them to and fro.
func ClearlyLarger(short Resource, a, b Size) bool {
	aLink, bLink := a.link(), b.link()
	switch short {
	case CPU:
		return a.Cores >= clearlyMore*b.Cores && a.Cores > b.Cores && aLink >= bLink
	case Link:
		return aLink >= clearlyMore*bLink && aLink > bLink && a.Cores >= b.Cores
	}
	return false
}

// LargerFor reports whether a VM has clearly more of some resource than another one, in the
// sense of ClearlyLarger.
func LargerFor(a, b Size) bool { return ClearlyLarger(CPU, a, b) || ClearlyLarger(Link, a, b) }

func (s Size) link() float64 {
	if s.LinkMbps == 0 {
		return math.Inf(1)
	}
	return s.LinkMbps
}
