package main

import (
	"sync/atomic"

	"go.uber.org/zap"
)

// operatorAPI implements admin.Process: it handles the calls of the operators' HTTP address. None of its methods waits
// for the event loop, so that calls are answered even while the event loop is stalled.
type operatorAPI struct {
	program *program
	booted  atomic.Bool // whether the event loop has started
}

// Ready implements admin.Process. The process is not ready if its lifecycle state says so, or if the event loop has not
// run for LoopStallThreshold; why names the state or the stall.
func (o *operatorAPI) Ready() (ready bool, why string) {
	now, machine := o.program.now(), o.program.lifecycle.machine
	if !machine.Policy(now).Ready {
		return false, machine.State().String()
	}
	stalled := now - o.program.eventLoop.LastRun()
	if stalled > o.program.limits.LoopStallThreshold {
		return false, "the event loop has not run for " + stalled.String()
	}
	return true, ""
}

// Drain implements admin.Process. It requests a drain.
func (o *operatorAPI) Drain() {
	o.program.lifecycle.machine.Drain(o.program.now())
	o.applyLifecycle()
}

// Resume implements admin.Process. It cancels a drain, and returns false if the process is already stopping.
func (o *operatorAPI) Resume() bool {
	resumed := o.program.lifecycle.machine.CancelDrain(o.program.now())
	o.applyLifecycle()
	return resumed
}

// applyLifecycle has the event loop apply the policy of the lifecycle state. Before the event loop has started it does
// nothing, because the start applies the policy.
func (o *operatorAPI) applyLifecycle() {
	if o.booted.Load() {
		o.program.eventLoop.Do(o.program.lifecycle.apply)
	}
}

// RecordCall implements admin.Process. It logs an operators' call.
func (o *operatorAPI) RecordCall(method, path string, status int) {
	o.program.log.Info(
		"operator call",
		zap.String("method", method),
		zap.String("path", path),
		zap.Int("status", status),
	)
}
