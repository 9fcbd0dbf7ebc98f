// Command simhost runs many routers for the simulator: it decodes the events that it reads, hands each to its
// instance's router and writes the encoded actions. It decides nothing.
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

// inputBufferBytes is room for a batch of ordinary size.
const inputBufferBytes = 1 << 20

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// instances are the routers that run now, by the number of their instance.
type instances map[uint16]*routing.Router

// serve answers batches until the input ends.
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

// handle gives one event to its instance. A panic of the router becomes a Crash, as the other instances go on.
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

// start starts an instance. Settings that can't work become a Crash.
func (i instances) start(number uint16, event simwire.StartInstance) []routing.Action {
	router, err := newRouter(event)
	if err != nil {
		return []routing.Action{simwire.Crash{Text: err.Error()}}
	}
	i[number] = router
	return nil
}

// newRouter makes a router that plans for lost sites as a director does without an operators' file. Where the settings
// give no topology to plan for, it goes on without a plan.
func newRouter(event simwire.StartInstance) (*routing.Router, error) {
	var settings routing.Settings
	if err := json.Unmarshal(event.Settings, &settings); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
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
