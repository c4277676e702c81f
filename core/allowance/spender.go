package allowance

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Ticket identifies the lease from which a request was taken; 0 means that it was not.
type Ticket uint64

// ownTicket is the ticket of tokens of the VM's own share, which cannot be returned.
const ownTicket = Ticket(math.MaxUint64)

// Outcome is what Spender.Take decides.
type Outcome uint8

// The outcomes of Take.
const (
	Taken  Outcome = iota // the request goes on
	Denied                // there is no room
	Ask                   // the granter has to be asked first
)

// Spender holds the tokens of one VM's process.
type Spender struct {
	vm, process string
	bounds      Bounds
	limits      map[string]Limit
	vms         recentMax
	accounts    map[string]*account
	number      uint64 // of the last report
	awaiting    bool   // whether its reply may still come
	sentAt      time.Duration
	named       string // granter that the last report named
	// granter is the granter that was heard last, echo the time in its last reply, which
	// came at heardAt.
	granter   string
	echo      time.Duration
	heardAt   time.Duration
	mayUseOwn bool
	hasHeard  bool // a granter was heard since the last Reset
	// supported may count on the share of this VM until supportedUntil.
	supported      string
	supportedUntil time.Duration
	leaving        bool // a report that leaves it was sent
	lastLeaves     bool // the last report was that one
}

// account holds the tokens of one workspace.
type account struct {
	leases      []lease // by expiry
	waiting     int     // requests that wait for the reply to the next report
	used        float64 // requests since the last report, whether they got a token or not
	demand      float64 // requests/s, smoothed
	measuredAt  time.Duration
	deniedUntil time.Duration
	// promised is the time at which there is room for the next request that is denied, and
	// spacing the time from then until there is room for one more.
	promised, spacing time.Duration
	own               bucket
}

type lease struct {
	number  uint64 // of the report that it was granted for
	expires time.Duration
	tokens  int
}

// NewSpender returns the spender of a process that starts now.
func NewSpender(now time.Duration, vm, process string, b Bounds) *Spender {
	s := &Spender{vm: vm, process: process, bounds: b, mayUseOwn: true}
	s.Reset(now)
	return s
}

// Reset drops all tokens, as after a restart or a pause that the clock did not count. The
// share of the VM may be assigned by what it has forgotten, so it waits for supportTime.
func (s *Spender) Reset(now time.Duration) {
	s.accounts = map[string]*account{}
	s.awaiting, s.granter, s.hasHeard = false, "", false
	s.supported, s.supportedUntil, s.leaving = "", now+supportTime, false
}

// Configure sets the limits of the workspaces and the number of VMs. It keeps limits.
func (s *Spender) Configure(now time.Duration, limits map[string]Limit, vms int) {
	s.limits = limits
	s.vms.note(now, vms)
	for name := range s.accounts {
		if _, ok := limits[name]; !ok {
			delete(s.accounts, name)
		}
	}
}

// Limited reports whether a workspace has a limit.
func (s *Spender) Limited(workspace string) bool {
	_, ok := s.limits[workspace]
	return ok
}

func (s *Spender) account(now time.Duration, workspace string) *account {
	a := s.accounts[workspace]
	if a == nil {
		a = &account{measuredAt: now, own: newBucket(max(now, s.supportedUntil))}
		s.accounts[workspace] = a
	}
	return a
}

// Take takes a token for a request. again is set if the request has asked before. With Ask,
// the caller reports to the granter and calls Take again after the reply. With Denied there
// is room for the request after retryAfter.
func (s *Spender) Take(now time.Duration, workspace string, again bool) (t Ticket, o Outcome, retryAfter time.Duration) {
	limit, ok := s.limits[workspace]
	if !ok {
		return ownTicket, Taken, 0
	}
	a := s.account(now, workspace)
	if !again {
		a.used++
	}
	for i := range a.leases {
		if l := &a.leases[i]; l.tokens > 0 && now < l.expires {
			l.tokens--
			return Ticket(l.number), Taken, 0
		}
	}
	if s.IsOnItsOwn(now) {
		return s.takeOwn(now, a, limit)
	}
	if now < a.deniedUntil {
		return 0, Denied, s.nextRoom(now, a)
	}
	a.waiting++
	return 0, Ask, 0
}

// nextRoom gives the requests that are denied consecutive times, at most one window away.
func (s *Spender) nextRoom(now time.Duration, a *account) time.Duration {
	at := min(max(a.deniedUntil, a.promised), now+s.bounds.Window)
	a.promised = at + a.spacing
	return at - now
}

// IsOnItsOwn reports whether the VM uses its share itself: it has heard from a granter, and
// none may count on the share any more.
func (s *Spender) IsOnItsOwn(now time.Duration) bool {
	return s.hasHeard && now >= s.supportedUntil
}

// AllowOwnShare tells whether the VM may use its share itself. It may not once the other VMs
// may not count it any more.
func (s *Spender) AllowOwnShare(allowed bool) { s.mayUseOwn = allowed }

// takeOwn takes a token of the VM's own share of the allowance.
func (s *Spender) takeOwn(now time.Duration, a *account, l Limit) (Ticket, Outcome, time.Duration) {
	n := float64(s.vms.value())
	rate := s.bounds.rate(l) / n
	if a.own.at < s.supportedUntil {
		a.own = newBucket(s.supportedUntil)
	}
	a.own.advance(now, rate, s.bounds.capacity(l)/n, s.bounds.Lease())
	if a.own.level >= 1 && s.mayUseOwn {
		a.own.level--
		return ownTicket, Taken, 0
	}
	return 0, Denied, min(perSecond(1-a.own.level, rate), s.bounds.Window)
}

// Refund gives back the token of a request that was not run, unless its lease has ended:
// to use it later would add to the requests of a later window.
func (s *Spender) Refund(now time.Duration, workspace string, t Ticket) {
	a := s.accounts[workspace]
	if a == nil {
		return
	}
	for i := range a.leases {
		if l := &a.leases[i]; Ticket(l.number) == t && now < l.expires {
			l.tokens++
			return
		}
	}
}

// Report returns the next report and the VM that it is for: reader, or once the VM of the
// granter that is to be left because another VM is the reader. All requests that wait call
// Take again once the report is answered or has failed.
func (s *Spender) Report(now time.Duration, reader string) (to string, r Report) {
	s.number++
	s.awaiting, s.sentAt = true, now
	r = Report{VM: s.vm, Process: s.process, Number: s.number, Granter: s.granter, Echo: s.echo}
	g := s.Supported(now)
	s.lastLeaves = g != "" && VMOf(g) != reader && !s.leaving
	if s.lastLeaves {
		s.leaving = true
		r.Granter, r.Leaves = g, true
		s.named = g
		return VMOf(g), r
	}
	s.named = s.granter
	heard := s.granter != "" && VMOf(s.granter) == reader && s.heardAt+supportTime > now
	if heard && (s.supported == s.granter || now >= s.supportedUntil) {
		r.Supports, s.leaving = true, false
		s.supported, s.supportedUntil = s.granter, s.heardAt+supportTime
		for _, a := range s.accounts {
			a.own = newBucket(s.supportedUntil)
		}
	}
	for name, a := range s.accounts {
		if w, any := a.want(now, s.bounds.Lease()); any {
			w.Workspace = name
			r.Wants = append(r.Wants, w)
		}
	}
	slices.SortFunc(r.Wants, func(a, b Want) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return reader, r
}

const (
	// measureInterval is the least time over which demand is measured. It is somewhat below
	// reportInterval, so that regular reports always measure.
	measureInterval = reportInterval * 4 / 5
	// aheadMargin covers the variation of the requests of one interval.
	aheadMargin = 1.1
	// demandMemory is the share of the smoothed demand that an interval without requests
	// leaves.
	demandMemory = 0.6
	// leastAhead is the number of requests per interval from which on tokens are requested
	// ahead. Below it most of them would not be used.
	leastAhead = 1.0
)

// want returns what the account needs, and gives back the tokens that it is not likely to
// use before they expire.
func (a *account) want(now, leaseTime time.Duration) (w Want, any bool) {
	if passed := (now - a.measuredAt).Seconds(); passed >= measureInterval.Seconds() {
		weight := math.Pow(demandMemory, passed/reportInterval.Seconds())
		a.demand = a.demand*weight + a.used/passed*(1-weight)
		if a.used == 0 { // its callers may have moved to another VM
			a.demand = 0
		}
		a.used, a.measuredAt = 0, now
	}
	need := 0
	if expected := a.demand * reportInterval.Seconds(); expected >= leastAhead {
		need = int(math.Ceil(expected * aheadMargin))
	}
	w.Waiting = a.waiting
	held := 0
	a.leases = slices.DeleteFunc(a.leases, func(l lease) bool { return now >= l.expires })
	for i := len(a.leases) - 1; i >= 0; i-- { // the ones that expire last are kept first
		l := &a.leases[i]
		keep := 0
		if l.expires-now > leaseTime/2 {
			keep = min(l.tokens, max(0, need-held))
		}
		if l.tokens > keep {
			w.Returned = append(w.Returned, Returned{Lease: l.number, Tokens: l.tokens - keep})
			l.tokens = keep
		}
		held += keep
	}
	w.Ahead = max(0, need-held)
	return w, w.Waiting > 0 || w.Ahead > 0 || len(w.Returned) > 0
}

// ReportEnded tells that the last report gets no reply any more.
func (s *Spender) ReportEnded() {
	s.awaiting = false
	for _, a := range s.accounts {
		a.waiting = 0
	}
}

// HandleReply takes in the reply to the last report. It reports whether the next report is
// due at once: to a granter that is new, or that can be supported from now on.
func (s *Spender) HandleReply(now time.Duration, r Reply) (again bool) {
	if !s.awaiting || r.Number != s.number {
		return false // late or repeated
	}
	s.ReportEnded()
	if r.Left && s.named == s.supported {
		again = now < s.supportedUntil
		s.supportedUntil = min(s.supportedUntil, now)
	}
	if r.Granter == "" || s.lastLeaves {
		return again
	}
	again = again || s.granter != r.Granter
	s.granter, s.echo, s.heardAt, s.hasHeard = r.Granter, r.At, now, true
	for _, g := range r.Grants {
		s.takeIn(now, g)
	}
	return again
}

func (s *Spender) takeIn(now time.Duration, g Grant) {
	if _, ok := s.limits[g.Workspace]; !ok {
		return
	}
	a := s.account(now, g.Workspace)
	if expires := s.sentAt + s.bounds.Lease(); g.Tokens > 0 && now < expires {
		a.leases = append(a.leases, lease{number: s.number, expires: expires, tokens: g.Tokens})
	}
	if g.RoomIn > 0 {
		// RoomIn grows with the number of VMs that ask in vain, so that these do not all ask
		// for each new token.
		a.deniedUntil, a.spacing = now+max(g.RoomIn, 2*s.pause()), g.Spacing
	}
}

// ReportIn returns the time until the next report is due.
func (s *Spender) ReportIn(now time.Duration) time.Duration {
	interval := idleInterval
	for _, a := range s.accounts {
		if a.used > 0 || a.demand*reportInterval.Seconds() >= leastAhead || len(a.leases) > 0 {
			interval = reportInterval
			break
		}
	}
	return max(0, s.sentAt+interval-now)
}

// Supported returns the granter that may count on the share of this VM, or "".
func (s *Spender) Supported(now time.Duration) string {
	if now >= s.supportedUntil {
		return ""
	}
	return s.supported
}

// Granter returns the granter that was heard last, or "".
func (s *Spender) Granter() string { return s.granter }

// MayReportIn returns the time until the next report may be made for requests that wait.
func (s *Spender) MayReportIn(now time.Duration) time.Duration {
	return max(0, s.sentAt+s.pause()-now)
}

// pause returns the least time between two reports.
func (s *Spender) pause() time.Duration {
	return min(greatestInterval, max(leastInterval, time.Duration(s.vms.value())*time.Second/reportsPerSecond))
}
