package cluster

import "github.com/mangogate/mangogate/standin/faultproxy"

var cut = faultproxy.Settings{Cut: true}

// IsolateFromPeers cuts a VM off from all other VMs. Like all network faults it
// needs Config.Proxied and lasts until Heal. Bytes that are sent during the cut
// are delivered after Heal, as TCP retransmission does.
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

// IsolateFromPlatform cuts a VM off from the platform, which serves the log and the
// VM list.
func (c *Cluster) IsolateFromPlatform(v *VM) { v.PlatformProxy.SetBoth(cut) }

// Partition cuts the VMs of each group off from the VMs of all other groups. A
// VM in no group still reaches every VM.
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

// cutBetween cuts the connections between two VMs in both directions.
func cutBetween(a, b *VM) {
	a.PeerProxy.SetClientBoth(b.IP, cut)
	b.PeerProxy.SetClientBoth(a.IP, cut)
}

// Heal removes all faults from the network.
func (c *Cluster) Heal() {
	for _, p := range c.proxies {
		p.Heal()
	}
}
