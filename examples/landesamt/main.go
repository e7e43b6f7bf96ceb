// Landesamt prints the configuration of an office that drafts retrofit quotes and answers questions:
// a cheap model "desk", an expensive model "drafter", and two plain services whose claims and
// bookings must not run twice. Its callers can wait, so cost and exposure to new versions matter
// more than latency.
//
// # Usage
//
//	go run ./examples/landesamt >routing.json
package main

import "skylarkstand/declare"

func main() { declare.Main(configuration()) }

type office struct {
	id    declare.WorkspaceID
	terms declare.Terms
	key   declare.Digest
	// drafts reports whether the office may use the drafter and the plain services; the others only
	// use the desk.
	drafts bool
}

// offices lists the offices. The Landesamt issues their keys; only the digests are stored here.
var offices = []office{
	{"ministries", declare.Terms{Share: 8, Quality: 0.93, LatencyPrice: 5, Limit: 400}, declare.DigestOf("d0d477d8e6a30772fc5165325ae4d7155f268b41b80e1391dc3de45b0b7b676e"), true},
	{"schools", declare.Terms{Share: 6, Quality: 0.9, LatencyPrice: 5, Limit: 300}, declare.DigestOf("acb86e54bb198c26ad2d752fb1f1dbf69e9ee39191480f2618c6206fb6a31f68"), true},
	{"district-offices", declare.Terms{Share: 6, Quality: 0.9, LatencyPrice: 5, Limit: 300}, declare.DigestOf("88d12407b3ae04684ae1f754d58bc89e2669ff66f1cce5496409c097edaccad2"), true},
	{"universities", declare.Terms{Share: 2, Quality: 0.9, LatencyPrice: 5, Limit: 80}, declare.DigestOf("ba27bbb0a1c68061ff7d674a49d2dc92aef013e0a5e81ba6b1d949ceacce6899"), true},
	{"hospitals", declare.Terms{Share: 2, Quality: 0.93, LatencyPrice: 10, Limit: 80}, declare.DigestOf("548026c20761701a5d108399bc47c795f981f8f2beaccb7d19213e00ae98fec5"), true},
	{"courts", declare.Terms{Share: 1, Quality: 0.9, LatencyPrice: 5, Limit: 40}, declare.DigestOf("2ad84ea69ac102717bc3778b44922a675114c8917a60988417f4fe070a1129db"), true},
	{"police", declare.Terms{Share: 1, Quality: 0.9, LatencyPrice: 10, Limit: 40}, declare.DigestOf("40ed12b1f310b1e4b673ae0a96b3c4c9901932922fdb6fbdf5af60f2426c08d4"), true},
	{"museums", declare.Terms{Share: 1, Quality: 0.85, LatencyPrice: 2, Limit: 20}, declare.DigestOf("a27880f013e174783b382ac6e580eec039acbe1413f15316984e834d0111dca4"), false},
	{"libraries", declare.Terms{Share: 1, Quality: 0.7, LatencyPrice: 2, Limit: 20}, declare.DigestOf("b0db7a37523b84769f31fdeb9b07d03240b284bb55b7342fcc91bdc94d26e87f"), false},
	{"public-hotline", declare.Terms{Share: 1, Quality: 0.7, LatencyPrice: 20, Limit: 60}, declare.DigestOf("d22e12764d6fe450475048264856858b2974d2ea1b6b465c10222230c1b9968c"), false},
}

func configuration() *declare.Configuration {
	cf := declare.New()

	desk, deskStable := cf.Model("desk", "v1", declare.Version{Quality: 0.72, Prices: declare.Prices{Prompt: 10, Token: 40}})
	deskNext := desk.Version("v2", declare.Version{Quality: 0.76, Prices: declare.Prices{Prompt: 10, Token: 40}})
	drafter, drafterStable := cf.Model("drafter", "v3", declare.Version{Quality: 0.95, Prices: declare.Prices{Prompt: 150, Token: 600}})
	drafterNext := drafter.Version("v4", declare.Version{Quality: 0.96, Prices: declare.Prices{Prompt: 160, Token: 620}})

	// A bad version of the desk must reach few callers: the roll-out starts with a tenth.
	deskNext.RollOut(10)

	muc := cf.Region("muc", "muc-a", "muc-b")
	cf.Region("nue", "nue-a")

	quick := cf.Cascade("quick", desk, drafter)
	subsidy := cf.Service("subsidy").AtMostOnce("claim", 500).Repeatable("price-lookup", 5)
	survey := cf.Service("survey").AtMostOnce("booking", 300).Repeatable("free-dates", 5)

	for _, of := range offices {
		ws := cf.Workspace(of.id, of.terms, of.key).Allow(deskStable, deskNext)
		if of.drafts {
			ws.Allow(drafterStable, drafterNext).Cascades(quick).Services(subsidy, survey)
		}
		if of.id == "courts" {
			ws.Regions(muc) // Court files must not leave the region.
		}
	}
	return cf
}
