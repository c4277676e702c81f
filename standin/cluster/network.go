package cluster

import "github.com/mangogate/mangogate/standin/faultproxy"

var cut = faultproxy.Settings{Cut: true}

// IsolateFromPeers cuts a VM off from all other VMs. Like the other faults of
// the network it needs Config.Proxied and ends with Heal; what was sent
// meanwhile is then delivered late, as TCP does.
func (c *Cluster) IsolateFromPeers(v *VM) {
	for _, other := range c.VMs {
		if other != v {
			cutBetween(v, other)
		}
	}
}

// IsolateFromTargets cuts a VM off from all targets.
func (c *Cluster) IsolateFromTargets(v *VM) {
	for _, t := range c.Targets {
		t.Proxy.SetClientBoth(v.IP, cut)
	}
}

// IsolateFromLog cuts a VM off from the platform.
func (c *Cluster) IsolateFromLog(v *VM) { v.PlatformProxy.SetBoth(cut) }

// Partition cuts the VMs of each group off from those of the other groups. VMs
// in no group reach all others.
func (c *Cluster) Partition(groups ...[]*VM) {
	for i, group := range groups {
		for _, others := range groups[i+1:] {
			for _, v := range group {
				for _, other := range others {
					cutBetween(v, other)
				}
			}
		}
	}
}

func cutBetween(a, b *VM) {
	a.PeerProxy.SetClientBoth(b.IP, cut)
	b.PeerProxy.SetClientBoth(a.IP, cut)
}

// Heal ends all cuts and delays of the network.
func (c *Cluster) Heal() {
	for _, p := range c.proxies {
		p.Heal()
	}
}
