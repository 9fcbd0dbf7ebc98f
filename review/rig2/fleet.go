package rig2

import (
	"fmt"
	"strings"
	"time"
)

// Fleet is a small deployment: one branch with its caches, the origin, the control feed and one director.
type Fleet struct {
	Feed     *Feed
	Caches   []*Server
	Origin   *Server
	Director *Director
}

// StartFleet starts a deployment. Each cache passes its commands to handle with its name; no one asks the origin.
// change may change the configuration before the director starts.
func StartFleet(record *Record, caches int, handle func(string, *Call), change func(*Config)) (*Fleet, error) {
	f := &Fleet{}
	var list []Endpoint
	for i := range caches {
		name := fmt.Sprintf("s-cache%d", i)
		cache, err := StartServer(name, "", func(call *Call) { handle(name, call) })
		if err != nil {
			return f, err
		}
		f.Caches = append(f.Caches, cache)
		list = append(list, Endpoint{Name: name, Address: cache.Address(), Zone: "branch", Type: "small",
			Status: "ready", Weight: 200})
	}
	var err error
	f.Origin, err = StartServer("s-origin", "", func(*Call) {})
	if err != nil {
		return f, err
	}
	list = append(list, Endpoint{Name: "s-origin", Address: f.Origin.Address(), Zone: "hub", Type: "origin",
		Status: "ready", Weight: 200})
	if f.Feed, err = StartFeed(record, list); err != nil {
		return f, err
	}
	return f, f.startDirector(record, change)
}

func (f *Fleet) startDirector(record *Record, change func(*Config)) error {
	listen, err := FreeAddress()
	if err != nil {
		return err
	}
	operator, err := FreeAddress()
	if err != nil {
		return err
	}
	config := Config{Name: "n1", Listen: listen, Operator: operator, Feed: f.Feed.Address(), Known: f.Feed.Known(),
		Settings: Settings(1), Cores: 1, MemoryMB: 192, Sockets: 1024}
	if change != nil {
		change(&config)
	}
	if f.Director, err = Start(config); err != nil {
		return err
	}
	record.Logf("director %s started, listens at %s", config.Name, config.Listen)
	return f.Director.WaitReady()
}

// Stop ends everything that was started.
func (f *Fleet) Stop() {
	if f.Director != nil {
		f.Director.Kill()
	}
	for _, cache := range f.Caches {
		cache.Close()
	}
	if f.Origin != nil {
		f.Origin.Close()
	}
	if f.Feed != nil {
		f.Feed.Close()
	}
}

// Body returns the bytes of an object.
func Body(object string, size int) []byte {
	text := strings.Repeat(object+"/", size/len(object)+1)
	return []byte(text[:size])
}

// Good returns a good answer of a cache that holds the object.
func Good(id, object string, size int) []byte {
	since := time.Now().Add(-time.Second).UnixMilli()
	fields := fmt.Sprintf("n=HIT,rev=%s,since=%d,l=inflight:1;util:0.1", object[:8], since)
	return Encode(id, "OK", fields, string(Body(object, size)))
}

// Request returns the fields of a request.
func Request(service, object string, allow time.Duration) map[string]string {
	return map[string]string{"service": service, "ref": Ref(), "allow": fmt.Sprint(allow.Milliseconds()),
		"lookup": object, "chunk": "0", "tag": "17", "room": "200"}
}
