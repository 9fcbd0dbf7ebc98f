// Command simhost hosts many routers on the simulator's wire: it decodes events, hands each to its
// instance's router and encodes the actions. It decides nothing.
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

const inputBufferBytes = 1 << 20

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// serve answers batches until the input ends.
func serve(in io.Reader, out io.Writer) error {
	batches := simwire.NewReader(bufio.NewReaderSize(in, inputBufferBytes))
	routers := map[uint16]*routing.Router{}
	var reply simwire.Reply
	for {
		b, err := batches.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		reply.Reset(b.Number)
		for _, rec := range b.Records {
			for _, a := range handleRecord(routers, b.Clock, rec) {
				if err := reply.Append(rec.Instance, a); err != nil {
					return err
				}
			}
		}
		if _, err := out.Write(reply.Bytes()); err != nil {
			return err
		}
	}
}

// handleRecord gives one event to its instance. A panic or unusable settings become a Crash.
func handleRecord(routers map[uint16]*routing.Router, now routing.Time, rec simwire.Record) (actions []routing.Action) {
	defer func() {
		if p := recover(); p != nil {
			actions = []routing.Action{simwire.Crash{Text: fmt.Sprint("panic: ", p)}}
		}
	}()
	switch e := rec.Event.(type) {
	case simwire.StartInstance:
		r, err := newRouter(e)
		if err != nil {
			return []routing.Action{simwire.Crash{Text: err.Error()}}
		}
		routers[rec.Instance] = r
		return nil
	case simwire.StopInstance:
		delete(routers, rec.Instance)
		return nil
	}
	if r := routers[rec.Instance]; r != nil {
		return r.Handle(now, rec.Event)
	}
	return nil
}

func newRouter(b simwire.StartInstance) (*routing.Router, error) {
	var s routing.Settings
	if err := json.Unmarshal(b.Settings, &s); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	r, err := routing.New(s, b.Seed)
	if err != nil {
		return nil, err
	}
	if a, err := failover.NewLocalPlanner(&s, failover.Overrides{}, nil); err == nil {
		r.SetSiteOptions(sitehealth.Options{Plan: a.Shares}) // as the real director does without an operators' file
	}
	return r, nil
}
