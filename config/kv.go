package config

import "net/netip"

// KV is the section "kv": the key-value service of the hosts.
type KV struct {
	// Addresses are the addresses of the servers. The client tries them one after another
	// until one answers.
	Addresses []netip.AddrPort `json:"addresses" need:"router,agent"`
}

// check validates the values that are set.
func (k KV) check(f *fieldErrors) {
	for i, addr := range k.Addresses {
		f.checkTarget(elementPath("kv.addresses", i), addr)
	}
	f.checkDistinct("kv.addresses", k.Addresses)
}
