package cell

import (
	"testing"
	"time"

	"github.com/mangogate/mangogate/core/fleet"
	"github.com/mangogate/mangogate/core/keyspace"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against requests that a target ends because they outlast the grant under which
// they began: grants last for the longest timeout of the routes to the service, within
// bounds that keep the keys of a lost target from being unserved for long.
func TestGrantsLastForTheLongestTimeout(t *testing.T) {
	route := func(service string, timeout time.Duration) fleet.Route {
		return fleet.Route{Timeout: timeout, Parts: []fleet.RoutePart{{Service: "other", Weight: 1}, {Service: service, Weight: 1}}}
	}
	cfg := &fleet.Config{Routes: []fleet.Route{
		route("short", 600*time.Millisecond), route("long", 600*time.Millisecond), route("long", 2*time.Second), route("longest", time.Minute), route("open", 0),
	}}
	assert.Equal(t, fleet.ShortestHold, holdFor(cfg, "short"))
	assert.Equal(t, 2*time.Second+renewInterval, holdFor(cfg, "long"))
	assert.Equal(t, fleet.LongestHold, holdFor(cfg, "longest"))
	assert.Equal(t, fleet.LongestHold, holdFor(cfg, "open"))
	assert.Equal(t, fleet.ShortestHold, holdFor(nil, "short"))
}

// Guards against two holders of a key after a change of leader: the new leader has to
// wait for grants of the previous one for as long as that one's record says, whatever
// the configuration says by now.
func TestSuccessorWaitsForTheHoldInTheRecord(t *testing.T) {
	vm := startVM(t, "vm-0", &memoryStore{})
	svc := fleet.Service{Name: "s", Keyed: true}
	require.Eventually(t, func() bool { return vm.leadershipOf("s") != nil }, 5*time.Second, 10*time.Millisecond)
	c, _ := vm.view.Cell("s")
	assert.Equal(t, fleet.ShortestHold, c.GrantHold())
	longer := &fleet.Cell{Service: "s", Hold: fleet.LongestHold}
	bound := vm.inherit(svc, maxHoldAfterLease(longer.GrantHold())).PriorManagerHoldBound() - vm.clock.Now()
	assert.InDelta(t, (callTimeout + fleet.LongestHold*100/98).Seconds(), bound.Seconds(), 0.05)
}

// Guards against requests of 2.4 s that end with an error at every target: the lease of
// the keys must outlast a request that begins right before a renewal.
func TestGrantIsRenewedBeforeLongestRequestEnds(t *testing.T) {
	const timeout = 2400 * time.Millisecond
	cfg := &fleet.Config{Routes: []fleet.Route{{Timeout: timeout, Parts: []fleet.RoutePart{{Service: "s", Weight: 1}}}}}
	k := keyConfig(holdFor(cfg, "s"))
	m := keyspace.New(k, []keyspace.Assignment{{From: 0, To: keyspace.Keys - 1, Owner: keyspace.Holder{Target: "t"}, Fence: 1}}, 0)
	var granted time.Duration
	for now := time.Duration(0); now < 10*time.Second; now += keyStepInterval {
		for _, a := range m.Step(now, func(keyspace.Holder) bool { return true }) {
			m.ReportResult(now, a.ID, keyspace.Accepted, "")
			granted = now + a.Hold
		}
		assert.GreaterOrEqual(t, granted-now+keyStepInterval, timeout, "a request that begins at %s", now)
	}
}
