package routing

import (
	"reflect"
	"testing"
)

func newPeersEnv(t *testing.T) *testEnv {
	t.Helper()
	return newSimpleEnv(t, func(settings *Settings) {
		settings.SiteLimits.PeerMessagesAllowed = true
		settings.Tiers.SiblingFills = SiblingFillsAny
	})
}

// The router asks directors of other zones for a holder of an object only when no parent is usable, peer messages are
// allowed, and caches of other zones may be sources. It fills from the holder that a reply names, and from the origin
// if no reply arrives. It answers the queries of other zones.
func TestPeersAreQueriedForRemoteHolders(t *testing.T) {
	const remoteCache = Host(700)
	key := objectKey{43, 0}
	env := newPeersEnv(t)
	env.submitObject(1, 42, classBig)
	if len(env.fetches) != 1 {
		t.Fatal("peers were asked though parents are usable")
	}
	env.setState(hostParent, Draining)
	env.setState(hostParent+1, Draining)
	env.actions = nil
	env.submitObject(2, 43, classBig)
	var query []byte
	for _, message := range actionsOf[SendPeerMessage](env.actions) {
		query = message.Data
	}
	if len(query) == 0 || len(query) > 256 || len(env.fetches) != 1 {
		t.Fatalf("got actions %v, want one query of at most 256 bytes and no attempt", env.actions)
	}
	for i := range query {
		env.handle(PeerMessage{From: 1, Data: query[:i]}) // truncated messages are ignored
	}
	reply := locationMessage{kind: locationReply, zone: 2, key: key, holder: remoteCache}
	env.handle(PeerMessage{From: 1, Data: reply.encode()})
	if fetch := env.fetches[1]; fetch.Source != remoteCache || fetch.Flags&OnlyIfCached == 0 {
		t.Errorf("got %+v, want a fill from the remote cache with OnlyIfCached", fetch)
	}
	env.submitObject(3, 44, classBig) // no reply: filled from the origin after the latency objective
	env.run(600 * ms)
	if fetch := env.fetches[2]; fetch.Source != hostOrigin {
		t.Errorf("got %+v, want a fill from the origin", fetch)
	}

	replyingEnv := newPeersEnv(t)
	replyingEnv.submitObject(1, 43, classBig)
	replyingEnv.run(100 * ms)
	replyingEnv.actions = nil
	remoteQuery := locationMessage{kind: locationQuery, zone: 2, key: key}
	replyingEnv.handle(PeerMessage{From: 1, Data: remoteQuery.encode()})
	wantReply := locationMessage{kind: locationReply, zone: 1, key: key, holder: replyingEnv.fetches[0].Host}
	want := SendPeerMessage{To: 1, Data: wantReply.encode()}
	if !reflect.DeepEqual(replyingEnv.actions, []Action{want}) {
		t.Errorf("got actions %v, want %v", replyingEnv.actions, want)
	}
	env.assertNoViolation()
}
