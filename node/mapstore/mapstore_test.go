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

const lease = time.Minute // long enough not to end while the test runs

func install(t *testing.T, s *Store, args InstallArgs) InstallReply {
	t.Helper()
	var reply InstallReply
	require.NoError(t, s.Install(&args, &reply))
	return reply
}

func newTestStore() *Store {
	return New(clock.New(), timeline.New("vm"), hclog.NewNullLogger(), "boot")
}

func mapOf(term, sequence uint64) *shardmap.Map { return &shardmap.Map{Term: term, Sequence: sequence} }

// Guards against a lease that counts from the arrival of a message, so that a network
// delay lengthens it. A message without a clock reading of this process gives no lease.
func TestLeaseCountsFromTheReadingOfThisProcess(t *testing.T) {
	s := newTestStore()
	first := install(t, s, InstallArgs{Term: 1, Sequence: 1, Lease: lease, Map: mapOf(1, 1)})
	require.False(t, s.LeaseValid())
	install(t, s, InstallArgs{Term: 1, Sequence: 1, Lease: lease, Echo: first.Clock, BootID: "earlier process"})
	require.False(t, s.LeaseValid())
	install(t, s, InstallArgs{Term: 1, Sequence: 1, Lease: lease, Echo: first.Clock, BootID: first.BootID})
	require.True(t, s.LeaseValid())
}

// Guards against a renewal that makes the lease valid although it was delayed in the
// network for longer than the lease.
func TestLateRenewalGivesNoLease(t *testing.T) {
	s := newTestStore()
	first := install(t, s, InstallArgs{Term: 1, Sequence: 1, Lease: lease, Map: mapOf(1, 1)})
	install(t, s, InstallArgs{Term: 1, Sequence: 1, Lease: time.Nanosecond, Echo: first.Clock, BootID: first.BootID})
	require.False(t, s.LeaseValid())
}

// Guards against a manager of an earlier term that does not know of its
// successor and renews the lease or replaces the map.
func TestOlderTermHasNoEffect(t *testing.T) {
	s := newTestStore()
	first := install(t, s, InstallArgs{Term: 2, Sequence: 1, Lease: lease, Map: mapOf(2, 1)})
	reply := install(t, s, InstallArgs{Term: 1, Sequence: 9, Lease: lease, Map: mapOf(1, 9), Echo: first.Clock, BootID: first.BootID})
	require.Equal(t, uint64(2), reply.Term)
	require.False(t, s.LeaseValid())
	require.Equal(t, uint64(2), s.Current().Term)
}

// Guards against requests that are sent under the map of an earlier term after
// the manager of a later term has made contact.
func TestNewTermEndsTheLease(t *testing.T) {
	s := newTestStore()
	first := install(t, s, InstallArgs{Term: 1, Sequence: 1, Lease: lease, Map: mapOf(1, 1)})
	install(t, s, InstallArgs{Term: 1, Sequence: 1, Lease: lease, Echo: first.Clock, BootID: first.BootID})
	require.True(t, s.LeaseValid())
	install(t, s, InstallArgs{Term: 2, Sequence: 1, Lease: lease, Echo: first.Clock, BootID: first.BootID})
	require.False(t, s.LeaseValid(), "the map of term 2 is not installed")
}

// Guards against a caller that takes the channel before a map is installed and is not
// woken by the installation.
func TestChangedIsClosedByANewMap(t *testing.T) {
	s := newTestStore()
	changed := s.Changed()
	install(t, s, InstallArgs{Term: 1, Sequence: 1, Lease: lease, Map: mapOf(1, 1)})
	<-changed
}
