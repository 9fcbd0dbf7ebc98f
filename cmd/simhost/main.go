// Command simhost runs many routers in one process for the simulator. It reads batches of events from standard input,
// passes each event to the router of its instance and writes the resulting actions to standard output. All routing
// decisions are made by package routing.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"shaleyard/internal/failover"
	"shaleyard/internal/simwire"
	"shaleyard/internal/sitehealth"
	"shaleyard/routing"
)

// inputBufferBytes is the size of the input buffer, which holds a batch of usual size.
const inputBufferBytes = 1 << 20

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// instances holds the running routers by instance number.
type instances map[uint16]*routing.Router

// serve reads batches and writes a reply to each until the input ends. It returns nil at a clean end, and an error when
// the input is malformed or a reply can't be written.
func serve(in io.Reader, out io.Writer) error {
	batches := simwire.NewReader(bufio.NewReaderSize(in, inputBufferBytes))
	running := instances{}
	var reply simwire.Reply
	for {
		batch, err := batches.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		reply.Reset(batch.Number)
		for _, record := range batch.Records {
			for _, action := range running.handle(batch.Clock, record) {
				if err := reply.Append(record.Instance, action); err != nil {
					return err
				}
			}
		}
		if _, err := out.Write(reply.Bytes()); err != nil {
			return err
		}
	}
}

// handle passes an event to the router of its instance and returns the router's actions; an event for an instance that
// does not run is ignored. If the router panics, handle recovers and returns a Crash, as the other instances have to
// keep running.
func (i instances) handle(now routing.Time, record simwire.Record) (actions []routing.Action) {
	defer func() {
		if cause := recover(); cause != nil {
			actions = []routing.Action{simwire.Crash{Text: fmt.Sprint("panic: ", cause)}}
		}
	}()
	switch event := record.Event.(type) {
	case simwire.StartInstance:
		return i.start(record.Instance, event)
	case simwire.StopInstance:
		delete(i, record.Instance)
		return nil
	}
	router := i[record.Instance]
	if router == nil {
		return nil
	}
	return router.Handle(now, record.Event)
}

// start starts an instance, in place of one that runs under the same number. If the settings are invalid, it returns a
// Crash and starts nothing.
func (i instances) start(number uint16, event simwire.StartInstance) []routing.Action {
	router, err := newRouter(event)
	if err != nil {
		return []routing.Action{simwire.Crash{Text: err.Error()}}
	}
	i[number] = router
	return nil
}

// newRouter returns a router with the failover plan for lost sites that a director has when its operators configure no
// overrides. If the settings describe no topology that can be planned for, the router runs without a plan; that is no
// error.
func newRouter(event simwire.StartInstance) (*routing.Router, error) {
	var settings routing.Settings
	if err := json.Unmarshal(event.Settings, &settings); err != nil {
		return nil, fmt.Errorf("settings: %w", err) // the text is on the wire
	}
	router, err := routing.New(settings, event.Seed)
	if err != nil {
		return nil, err
	}
	planner, err := failover.NewLocalPlanner(&settings, failover.Overrides{}, nil)
	if err == nil {
		router.SetSiteOptions(sitehealth.Options{Plan: planner.Shares})
	}
	return router, nil
}
