package measure

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/mangogate/mangogate/core/inventory"
	"github.com/mangogate/mangogate/standin/cluster"
	"github.com/mangogate/mangogate/standin/faultproxy"
)

const (
	vms          = 8
	slots        = 3
	shards       = 256
	connectDelay = time.Millisecond
	// serviceTime is the mean of the exponential service times. It is long enough
	// that a load of half the slots stays below a thousand requests a second.
	serviceTime = 25 * time.Millisecond
	// A target is cold until it has executed 16 requests. While cold it takes three
	// times as long, and a pool target falls over with more than three requests in
	// flight. The target counts a request until its response is sent, so a sender
	// that keeps two requests in flight can reach three.
	coldCompletions = 16
	coldFactor      = 3
	coldMaxInFlight = 3
)

// service is a service with the number of its targets.
type service struct {
	name    string
	targets int
}

// deployment is a deployment of the design page. Targets of the keyed service own
// keys; those of the pools do not.
type deployment struct {
	name         string
	dataCentres  []string
	interDCDelay time.Duration // between data centres, one way
	callerDelay  time.Duration // between callers and entries, one way
	keyed        service
	pools        []service
}

// deployments lists the deployments in section 2 of the design page.
var deployments = []deployment{
	{name: "society", dataCentres: []string{"aberystwyth", "bangor", "cardigan"},
		interDCDelay: 500 * time.Microsecond, callerDelay: 3 * time.Millisecond,
		keyed: service{"field-conditions", 13}, pools: []service{{"bookings", 7}, {"membership", 6}}},
	{name: "flagworks", dataCentres: []string{"osu", "labadi", "tema"},
		interDCDelay: 1500 * time.Microsecond, callerDelay: time.Millisecond,
		keyed: service{"flag-status", 11}, pools: []service{{"deposits", 9}, {"rota", 6}}},
}

// testbed is a running deployment with network delays.
type testbed struct {
	deployment
	*cluster.Cluster
	callers map[*cluster.VM]*faultproxy.Proxy // delaying proxies between the callers and each VM

	mu          sync.Mutex
	portsReadAt time.Time      // when ports was read from /proc
	ports       map[int]string // data centre by local port of a VM's connection
}

func (s *session) start(d deployment) (*testbed, error) {
	dir, err := s.subdir(d.name)
	if err != nil {
		return nil, err
	}
	args := []string{"--service-time", serviceTime.String(), "--distribution", "exponential", "--seed", fmt.Sprint(s.opt.Seed),
		"--cold-completions", fmt.Sprint(coldCompletions), "--cold-factor", fmt.Sprint(coldFactor)}
	pooled := append([]string{"--cold-max-in-flight", fmt.Sprint(coldMaxInFlight)}, args...)
	// Targets that check fencing tokens would refuse the requests of the
	// baselines, so the check is off.
	cfg := cluster.Config{Dir: dir, Binaries: s.binaries, DataCentres: d.dataCentres, VMs: vms, Proxied: true,
		Services: []cluster.Service{{Name: d.keyed.name, Ownership: inventory.OwnershipKey, Shards: shards, Targets: d.keyed.targets, TargetArgs: args}}}
	for _, p := range d.pools {
		cfg.Services = append(cfg.Services, cluster.Service{Name: p.name, Ownership: inventory.OwnershipPool, Targets: p.targets, TargetArgs: pooled})
	}
	c, err := cluster.Start(s.ctx, cfg)
	if err != nil {
		return nil, err
	}
	tb := &testbed{deployment: d, Cluster: c, callers: map[*cluster.VM]*faultproxy.Proxy{}}
	for _, t := range c.Targets {
		t.Proxy.SetLink(tb.link(t.DataCentre))
	}
	for _, v := range c.VMs {
		v.PeerProxy.SetLink(tb.link(v.DataCentre))
		p, err := faultproxy.New(faultproxy.Config{Upstream: v.CallerAddress})
		if err != nil {
			tb.close()
			return nil, err
		}
		p.SetBoth(faultproxy.Settings{Delay: d.callerDelay})
		tb.callers[v] = p
	}
	return tb, nil
}

func (tb *testbed) close() {
	tb.Close()
	for _, p := range tb.callers {
		p.Close()
	}
}

// entries returns the addresses at which callers reach the VMs that are alive.
func (tb *testbed) entries() []string {
	var out []string
	for _, v := range tb.VMs {
		if v.Alive() {
			out = append(out, tb.callers[v].Addr())
		}
	}
	return out
}

// link returns the simulated network to a process in data centre to. Connections
// from the same data centre have no delay; all others have interDCDelay.
func (tb *testbed) link(to string) faultproxy.Link {
	return faultproxy.Link{Connect: connectDelay, Delay: func(client net.Addr) time.Duration {
		if from, ok := tb.dataCentreOf(client.(*net.TCPAddr)); ok && from == to {
			return 0
		}
		return tb.interDCDelay
	}}
}

// localAddress returns the source address of a baseline entry, 127.0.1.N for the Nth
// data centre. On one loopback interface, dataCentreOf needs it to tell them apart.
func (tb *testbed) localAddress(dataCentre string) net.IP {
	for i, name := range tb.dataCentres {
		if name == dataCentre {
			return net.IPv4(127, 0, 1, byte(i+1))
		}
	}
	return net.IPv4(127, 0, 0, 1)
}

// dataCentreOf returns the data centre of a client. A source address 127.0.1.N means
// the Nth data centre; other clients are VMs, found by the owner of their port.
func (tb *testbed) dataCentreOf(client *net.TCPAddr) (string, bool) {
	if ip := client.IP.To4(); ip != nil && ip[2] == 1 {
		return tb.dataCentres[ip[3]-1], true
	}
	requested := time.Now()
	tb.mu.Lock()
	defer tb.mu.Unlock()
	// Reading /proc takes milliseconds, so connections that are opened together
	// share one reading: a call reads again only if the last reading began before
	// the call did.
	if tb.portsReadAt.Before(requested) {
		tb.portsReadAt = time.Now()
		tb.ports = tb.portsOfVMs()
	}
	dc, ok := tb.ports[client.Port]
	return dc, ok
}

// portsOfVMs returns the data centres of the VMs' connections, by local port.
func (tb *testbed) portsOfVMs() map[int]string {
	owners := map[string]string{} // data centre by socket, in the form of socketsOf
	for _, v := range tb.VMs {
		if v.Alive() {
			for _, socket := range socketsOf(v.Pid()) {
				owners[socket] = v.DataCentre
			}
		}
	}
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return nil
	}
	out := map[int]string{}
	for line := range strings.Lines(string(data)) {
		f := strings.Fields(line)
		if len(f) <= 9 {
			continue
		}
		dc, ok := owners["socket:["+f[9]+"]"]
		_, port, _ := strings.Cut(f[1], ":")
		if n, err := strconv.ParseUint(port, 16, 16); ok && err == nil {
			out[int(n)] = dc
		}
	}
	return out
}

// socketsOf returns the open sockets of a process in the form "socket:[INODE]".
func socketsOf(pid int) []string {
	dir := "/proc/" + strconv.Itoa(pid) + "/fd/"
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil // the process has exited
	}
	var out []string
	for _, e := range entries {
		if link, err := os.Readlink(dir + e.Name()); err == nil && strings.HasPrefix(link, "socket:") {
			out = append(out, link)
		}
	}
	return out
}
