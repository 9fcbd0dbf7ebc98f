package routing

import (
	"reflect"
	"testing"
)

// Far masters are asked only when no parent is up, peers may talk and caches elsewhere may be sources.
func TestFarMasters(t *testing.T) {
	allowPeers := func(settings *Settings) {
		settings.SiteLimits.PeerMessagesAllowed, settings.Tiers.SiblingFills = true, "any"
	}
	env := newSimpleEnv(t, allowPeers)
	env.submitRead(1, 42, 0)
	if len(env.fetches) != 1 {
		t.Fatal("masters were asked though parents are up")
	}
	for _, parent := range []Host{hostParent, hostParent + 1} {
		endpoint := env.endpoints[parent]
		endpoint.State = Draining
		env.updateEndpoints(UpdateDelta, endpoint)
	}
	env.actions = nil
	env.submitRead(2, 43, 0)
	var query []byte
	for _, action := range env.actions {
		if message, ok := action.(SendPeerMessage); ok {
			query = message.Data
		}
	}
	if len(query) == 0 || len(query) > 256 || len(env.fetches) != 1 {
		t.Fatalf("actions %v", env.actions)
	}
	for i := range query {
		env.handle(PeerMessage{From: 1, Data: query[:i]}) // garbage is passed over
	}
	key := objectKey{43, 0}
	env.handle(PeerMessage{From: 1, Data: locationMessage{locationReply, 2, key, 700}.encode()})
	if fetch := env.fetches[1]; fetch.Source != 700 || fetch.Flags&OnlyIfCached == 0 {
		t.Errorf("not filled from the far cache: %+v", fetch)
	}
	env.submitRead(3, 44, 0) // nobody answers: after the aim, the origin
	env.run(600 * ms)
	if fetch := env.fetches[2]; fetch.Source != hostOrigin {
		t.Errorf("not filled from the origin: %+v", fetch)
	}

	answering := newSimpleEnv(t, allowPeers)
	answering.submitRead(1, 43, 0)
	answering.run(100 * ms)
	answering.actions = nil
	answering.handle(PeerMessage{From: 1, Data: locationMessage{locationQuery, 2, key, 0}.encode()})
	want := SendPeerMessage{To: 1, Data: locationMessage{locationReply, 1, key, answering.fetches[0].Host}.encode()}
	if !reflect.DeepEqual(answering.actions, []Action{want}) {
		t.Errorf("answered %v, want %v", answering.actions, want)
	}
	env.assertNoViolation()
}
