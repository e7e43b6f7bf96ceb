// Association prints the configuration of a wholesalers' association: short replies from a small
// model, seasonal catalogues from a large one, and an orders service whose holds and confirmations
// must not run twice. Before Advent a late reply loses a customer, so the price of latency is high.
//
// # Usage
//
//	go run ./examples/association >routing.json
package main

import "skylarkstand/declare"

func main() { declare.Main(configuration()) }

type member struct {
	id    declare.WorkspaceID
	terms declare.Terms
	key   declare.Digest
	// orders reports whether the member may use the orders service; the others only use the models.
	orders bool
}

// members lists the members. The association issues the keys; only their digests are stored here.
var members = []member{
	{"tanaka-candles", declare.Terms{Share: 8, Quality: 0.9, LatencyPrice: 60, Limit: 300}, declare.DigestOf("d9710b7fdf5d78acd78b067a73b59c4d519277d5b7bd7a61b4fdf127a14d1830"), true},
	{"sapporo-incense", declare.Terms{Share: 6, Quality: 0.9, LatencyPrice: 60, Limit: 250}, declare.DigestOf("0cb8e5a9f72c3a31210103691755c1c6ac0d623d88029db1ec4094c1b06ed09c"), true},
	{"otaru-wax", declare.Terms{Share: 5, Quality: 0.9, LatencyPrice: 60, Limit: 200}, declare.DigestOf("a4fef4c9cec236a0f33ca179d871a57c8e6c6375b9424623f7570b512389eb50"), true},
	{"kushiro-altar-goods", declare.Terms{Share: 2, Quality: 0.88, LatencyPrice: 50, Limit: 60}, declare.DigestOf("eebfed993c5410e457d335c3b420ad0791cd91ce8b89f3b753fcc16dadc3cdf8"), true},
	{"furano-beeswax", declare.Terms{Share: 1, Quality: 0.88, LatencyPrice: 50, Limit: 30}, declare.DigestOf("e676a4bef500bd81fd257ecebdcb80df7e1fb17b0524694e19781c1bb7223cf6"), true},
	{"hakodate-lamps", declare.Terms{Share: 1, Quality: 0.88, LatencyPrice: 50, Limit: 30}, declare.DigestOf("304b7a8351864a20ba011935d019f06e846b2fdbcc52ff70d4f00625f9975e48"), true},
	{"asahikawa-parish-supply", declare.Terms{Share: 1, Quality: 0.88, LatencyPrice: 50, Limit: 30}, declare.DigestOf("65a8b97bd75ee95b845e49c0e455cc62409dfb758a9b5606053a785d9a2ce38f"), true},
	{"nemuro-votives", declare.Terms{Share: 1, Quality: 0.85, LatencyPrice: 40, Limit: 20}, declare.DigestOf("f1d14d510e736c5564395896f61c4216b4c764d43cdf5380a7efb726d98bfb95"), true},
	{"shop-staff", declare.Terms{Share: 2, Quality: 0.75, LatencyPrice: 80, Limit: 60}, declare.DigestOf("e5b3e7227bb10cae886b6859cd1aa8fcb4213ae6a9b5519a1eda14f149ca5ab9"), false},
	{"parish-secretaries", declare.Terms{Share: 2, Quality: 0.75, LatencyPrice: 80, Limit: 60}, declare.DigestOf("8edd97c0d32ac58f6ac1e112d74000a781e01a6d9d50848eb77ebd88ed4f1f81"), false},
}

func configuration() *declare.Configuration {
	cf := declare.New()

	small, smallStable := cf.Model("kogane-lm-small", "v5", declare.Version{Quality: 0.78, Prices: declare.Prices{Prompt: 8, Token: 30}})
	large, largeStable := cf.Model("kogane-lm", "v2", declare.Version{Quality: 0.94, Prices: declare.Prices{Prompt: 120, Token: 480}})
	largeNext := large.Version("v3", declare.Version{Quality: 0.95, Prices: declare.Prices{Prompt: 120, Token: 480}})

	// Before Advent a new version gets at most one session in twenty.
	largeNext.RollOut(5)

	reply := cf.Cascade("reply", small, large)
	orders := cf.Service("kogane-orders").
		AtMostOnce("stock-hold", 200).
		AtMostOnce("shipment-confirmation", 200).
		Repeatable("stock-level", 2)

	for _, me := range members {
		ws := cf.Workspace(me.id, me.terms, me.key).Allow(smallStable, largeStable, largeNext).Cascades(reply)
		if me.orders {
			ws.Services(orders)
		}
	}
	return cf
}
