package testbed

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	readyPollInterval = 5 * time.Millisecond
	progressInterval  = time.Second
)

// play starts the directors and runs the load and the script of fault events until both have ended.
func (t *Testbed) play(ctx context.Context, progress func(float64)) error {
	if begin := t.experiment.Discovery.Begin; begin != "" && begin != modeWell {
		t.discovery.setMode(begin, 1, 0)
	}
	t.recordPreamble()
	if err := t.startFleet(ctx); err != nil {
		return err
	}
	t.load = newLoadGenerator(t, t.experiment.Seed)
	lagContext, stopLag := context.WithCancel(ctx)
	defer stopLag()
	go t.recordLag(lagContext)
	begin := time.Now()
	t.history.record(Event{Kind: "load", What: "begin"})
	loadDone := make(chan struct{})
	go func() {
		t.load.run(begin.Add(seconds(t.experiment.Seconds)))
		close(loadDone)
	}()
	return t.runScript(ctx, begin, loadDone, progress)
}

// recordPreamble records the parameters of the run: the capacity of the origin and the hub of each branch, which the
// checker reads, and the experiment's name, its number of directors and its time limits, which describe the run.
func (t *Testbed) recordPreamble() {
	experiment := t.experiment
	t.history.record(Event{Kind: "capacity", Who: originName, Value: experiment.Origin.PerSecond})
	for branch := range experiment.Branches {
		t.history.record(Event{Kind: "home", Who: branchName(branch), What: hubName(branch % experiment.Hubs)})
	}
	t.history.record(
		Event{Kind: "meta", What: experiment.Name, Number: experiment.Directors, Value: 2000, TimeoutMS: 500},
	)
}

// startFleet starts all directors and waits until all of them listen and half of them are in rotation.
func (t *Testbed) startFleet(ctx context.Context) error {
	allDirectors := make([]int, t.experiment.Directors)
	for i := range allDirectors {
		allDirectors[i] = i
	}
	if err := t.startDirectors(allDirectors, false); err != nil {
		return err
	}
	for _, p := range t.directors {
		select {
		case <-p.listening:
		case <-p.exited:
			return fmt.Errorf("%s exited during startup; its log is in %s", directorName(p.id), t.dir)
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	for ready := 0; ready < (t.experiment.Directors+1)/2; ready = t.directorsInRotation() {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-time.After(readyPollInterval):
		}
	}
	return nil
}

func (t *Testbed) directorsInRotation() int {
	count := 0
	for _, p := range t.directors {
		if p.isInRotation() {
			count++
		}
	}
	return count
}

// scriptedAction is an action that is scheduled for a point in time: a fault is injected or removed.
type scriptedAction struct {
	at time.Time
	do func() error
}

// script returns the scheduled actions of all fault events, ordered by time. An event with a duration whose fault can
// be removed has two actions; an event's random choices depend only on the seed and the event's index.
func (t *Testbed) script(begin time.Time) []scriptedAction {
	var script []scriptedAction
	for i, event := range t.experiment.FaultEvents {
		start := begin.Add(seconds(event.At))
		inject, undo := t.faultActions(event, rand.New(rand.NewPCG(t.experiment.Seed, uint64(i)+100)))
		recorded := func(what string, action func() error) func() error {
			return func() error {
				err := action()
				t.history.record(Event{Kind: "step", Who: event.Action, What: what, Number: i})
				return err
			}
		}
		script = append(script, scriptedAction{at: start, do: recorded("done", inject)})
		if event.Duration > 0 && undo != nil {
			script = append(
				script,
				scriptedAction{at: start.Add(seconds(event.Duration)), do: recorded("undone", undo)},
			)
		}
	}
	slices.SortStableFunc(script, func(a, b scriptedAction) int { return a.at.Compare(b.at) })
	return script
}

// runScript runs the scheduled actions until both the script and the load have ended, and calls progress every
// progressInterval. It returns early if ctx is done or an action fails; at the end it returns the first error of a
// stand-in.
func (t *Testbed) runScript(
	ctx context.Context,
	begin time.Time,
	loadDone <-chan struct{},
	progress func(float64),
) error {
	script := t.script(begin)
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for loadDone != nil || len(script) > 0 {
		var next <-chan time.Time
		if len(script) > 0 {
			next = time.After(time.Until(script[0].at))
		}
		select {
		case <-next:
			if err := script[0].do(); err != nil {
				return err
			}
			script = script[1:]
		case <-ticker.C:
			if progress != nil {
				progress(time.Since(begin).Seconds())
			}
		case <-loadDone:
			loadDone = nil
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	t.history.record(Event{Kind: "load", What: "end"})
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.err
}

// seconds returns the duration of s seconds.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
