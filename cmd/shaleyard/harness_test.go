package main

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"shaleyard/internal/config"
	"shaleyard/internal/failover"
	"shaleyard/internal/nettest"
)

// harness holds the program under test and the scripted servers that it connects to: the discovery service, a cache
// and the origin.
type harness struct {
	t             *testing.T
	program       *program // nil if the program runs in a process of its own
	cache, origin *nettest.Server
	discovery     *nettest.Server
	exited        chan error // receives the result of the event loop's Run
}

// newHarness returns a harness whose servers listen and whose program is not started.
func newHarness(t *testing.T) *harness {
	t.Helper()
	return &harness{t: t, cache: nettest.Listen(t), origin: nettest.Listen(t), discovery: nettest.Listen(t),
		exited: make(chan error, 1)}
}

// settingsJSON is the settings object of every configuration that the harness writes.
const settingsJSON = `{"balancers":1,"dcs":["hub","here"],"kinds":["edge","parent","origin"],"zone":1,
 "registryMode":"automatic","weights":"rough","quantum":2000000,
 "services":[{"name":"media","aim":5000000000,"deadline":20000000000,"worth":2,"effect":"read_like"},
  {"name":"repayment","aim":5000000000,"deadline":20000000000,"worth":3,"effect":"non_idempotent"}],
 "ceilings":{"cancel":true,"maxAttempts":6,"secondCopies":true,"retryAfter":true,"maxRetryAfter":500000000,
  "connectTimeout":5000000000},
 "guarantees":{"cold":1000000000,"coldFrom":0.5,"fall":1000000000,"drainGrace":2000000000,"tipMultiple":2},
 "familyInfo":{"passOn":[false,true],"mergesFills":true,"flowKbPerS":1000,"masterKind":2,"secondTierKind":1,
 "notesGiven":"all",
  "purgeTakes":6000000000,"purgeSlack":500000000},
 "report":{"fields":["active"],"via":"inline"}}`

// endpointJSON returns an endpoint as the discovery service encodes it.
func endpointJSON(name, address, zone, kind, status string) string {
	return fmt.Sprintf(`{"name":%q,"address":%q,"zone":%q,"type":%q,"status":%q,"weight":4}`,
		name, address, zone, kind, status)
}

// membersEvent returns an event of the discovery service that holds a list of endpoints, each as endpointJSON returns
// it.
func membersEvent(revision int, snapshot bool, list ...string) string {
	return fmt.Sprintf(`{"n":%d,"members":{"index":%d,"snapshot":%v,"endpoints":[%s]}}`, revision, revision, snapshot,
		strings.Join(list, ","))
}

// startProgram runs the program in the test's process until the test ends. The test has to accept the program's
// connections to the discovery service.
func startProgram(t *testing.T) *harness {
	t.Helper()
	return startWithDescriptors(t, 1024)
}

// startWithDescriptors is like startProgram, with a configuration that allows the given number of descriptors.
func startWithDescriptors(t *testing.T, descriptors int) *harness {
	t.Helper()
	return startWithLimits(t, descriptors, io.Discard, nil)
}

// startWithLimits is like startWithDescriptors, writes the log to logTo and, unless change is nil, lets change modify
// the limits that are derived from the configuration.
func startWithLimits(t *testing.T, descriptors int, logTo io.Writer, change func(*config.Limits)) *harness {
	t.Helper()
	env := newHarness(t)
	conf, err := config.Parse(env.configJSON(descriptors), 1024)
	if err != nil {
		t.Fatal(err)
	}
	if change != nil {
		change(&conf.Limits)
	}
	if env.program, err = newProgram(conf, failover.Overrides{}, newLogger(logTo, "", conf.Name)); err != nil {
		t.Fatal(err)
	}
	if err := env.program.discovery.Bootstrap(conf.Bootstrap); err != nil {
		t.Fatal(err)
	}
	booted := make(chan struct{})
	env.program.eventLoop.Boot = func() {
		env.program.start()
		close(booted)
	}
	go func() { env.exited <- env.program.eventLoop.Run(conf.ListenAddress) }()
	select {
	case <-booted:
	case err := <-env.exited:
		t.Fatalf("event loop ended during startup: %v", err)
	}
	t.Cleanup(env.program.eventLoop.Stop)
	return env
}

// configJSON returns a configuration that names the harness's servers and allows the given number of descriptors.
func (h *harness) configJSON(descriptors int) []byte {
	known := membersEvent(1, true, endpointJSON("c1", h.cache.Addr(), "here", "edge", "ready"),
		endpointJSON("o", h.origin.Addr(), "hub", "origin", "ready"))
	return fmt.Appendf(nil, `{"name":"n1","listen":"127.0.0.1:0","feed":%q,"seed":"1",
		"limits":{"cores":1,"memory_mb":192,"sockets":%d},"known":{"n":1,"events":[%s]},"settings":%s}`,
		h.discovery.Addr(), descriptors, known, settingsJSON)
}

// dial connects a client to the program in the test's process.
func (h *harness) dial() *nettest.Conn { return nettest.Dial(h.t, h.program.eventLoop.Address()) }

// waitUntil waits until a condition, which is evaluated on the program's event loop, holds or the program has ended.
// The test must check something that shows if the program has ended too soon.
func (h *harness) waitUntil(condition func() bool) {
	result := make(chan bool, 1)
	for {
		h.program.eventLoop.Do(func() { result <- condition() })
		select {
		case holds := <-result:
			if holds {
				return
			}
		case err := <-h.exited:
			h.exited <- err
			return
		}
	}
}

// requestFields returns the fields of a request with the given class and reference, as names and values in turn.
func requestFields(class, ref string) []string {
	return []string{"service", class, "ref", ref, "allow", "15000", "lookup", "7f3a9c21e0b4d655", "chunk", "3",
		"tag", "17", "room", "412.5"}
}

// withTimeout sets the client's timeout, in milliseconds, in fields that requestFields has returned, and returns the
// fields.
func withTimeout(fields []string, milliseconds string) []string {
	return withFieldValue(fields, "allow", milliseconds)
}

// withFieldValue sets the value of a field in fields that requestFields has returned, and returns the fields.
func withFieldValue(fields []string, field, value string) []string {
	fields[slices.Index(fields, field)+1] = value
	return fields
}

// ref1, ref2 and ref3 are references for requests of tests.
const ref1, ref2, ref3 = "9b1f03aa5c7e2d41", "9b1f03aa5c7e2d42", "9b1f03aa5c7e2d43"

// wantReply reports a test error if got differs from want.
func (h *harness) wantReply(got, want nettest.Reply) {
	h.t.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		h.t.Errorf("reply mismatch (-want +got):\n%s", diff)
	}
}
