package mapstore

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/mangogate/mangogate/core/shardmap"
	"github.com/mangogate/mangogate/node/clock"
	"github.com/mangogate/mangogate/node/timeline"
	"github.com/stretchr/testify/require"
)

const lease = time.Minute // does not end while the test runs

func install(t *testing.T, s *Store, args InstallArgs) InstallReply {
	t.Helper()
	var reply InstallReply
	require.NoError(t, s.Install(&args, &reply))
	return reply
}

func store() *Store {
	return New(clock.New(), timeline.New("vm"), hclog.NewNullLogger(), "boot")
}

func mapOf(term, sequence uint64) *shardmap.Map { return &shardmap.Map{Term: term, Sequence: sequence} }

// Guards against a lease that is counted from when a message arrives: the first
// message carries no reading of this process and gives no lease.
func TestLeaseCountsFromTheReadingOfThisProcess(t *testing.T) {
	s := store()
	first := install(t, s, InstallArgs{Term: 1, Sequence: 1, Lease: lease, Map: mapOf(1, 1)})
	require.False(t, s.Permitted())
	install(t, s, InstallArgs{Term: 1, Sequence: 1, Lease: lease, Echo: first.Clock, BootID: "earlier process"})
	require.False(t, s.Permitted())
	install(t, s, InstallArgs{Term: 1, Sequence: 1, Lease: lease, Echo: first.Clock, BootID: first.BootID})
	require.True(t, s.Permitted())
}

// Guards against a renewal that was held in the network for longer than a lease.
func TestLateRenewalGivesNoLease(t *testing.T) {
	s := store()
	first := install(t, s, InstallArgs{Term: 1, Sequence: 1, Lease: lease, Map: mapOf(1, 1)})
	install(t, s, InstallArgs{Term: 1, Sequence: 1, Lease: time.Nanosecond, Echo: first.Clock, BootID: first.BootID})
	require.False(t, s.Permitted())
}

// Guards against an old manager that renews or replaces what a new one has set.
func TestOlderTermHasNoEffect(t *testing.T) {
	s := store()
	first := install(t, s, InstallArgs{Term: 2, Sequence: 1, Lease: lease, Map: mapOf(2, 1)})
	reply := install(t, s, InstallArgs{Term: 1, Sequence: 9, Lease: lease, Map: mapOf(1, 9), Echo: first.Clock, BootID: first.BootID})
	require.Equal(t, uint64(2), reply.Term)
	require.False(t, s.Permitted())
	require.Equal(t, uint64(2), s.Current().Term)
}

// Guards against sending under the map of a term that has passed.
func TestNewTermEndsTheLease(t *testing.T) {
	s := store()
	first := install(t, s, InstallArgs{Term: 1, Sequence: 1, Lease: lease, Map: mapOf(1, 1)})
	install(t, s, InstallArgs{Term: 1, Sequence: 1, Lease: lease, Echo: first.Clock, BootID: first.BootID})
	require.True(t, s.Permitted())
	install(t, s, InstallArgs{Term: 2, Sequence: 1, Lease: lease, Echo: first.Clock, BootID: first.BootID})
	require.False(t, s.Permitted(), "the map of term 2 is not installed")
}

// Guards against waiting for a change that has come already.
func TestChangedIsClosedByANewMap(t *testing.T) {
	s := store()
	changed := s.Changed()
	install(t, s, InstallArgs{Term: 1, Sequence: 1, Lease: lease, Map: mapOf(1, 1)})
	<-changed
}
