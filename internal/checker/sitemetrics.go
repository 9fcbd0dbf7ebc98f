package checker

import (
	"math"
	"slices"
	"strconv"
	"strings"
)

// siteMetricNames lists the names of the metrics that measure the loss of whole sites.
var siteMetricNames = strings.Fields(`
	served_share_loss served_share_bound survivor_peak detect_ms_p95 false_alarms moves_per_event return_ms_90
	repayments_refused_share others_refused_share repayments_refused_excess bound_share cut_off_told`)

const (
	siteBinWidth   = 500.0    // ms; bin for shares over time
	peakWindow     = 1_000.0  // ms; window over which the work of a server is summed
	baselinePeriod = 3_000.0  // ms before the first loss, over which the normal served share is measured
	alarmGrace     = 6_000.0  // ms after a site has recovered, in which reporting it as lost is no false alarm
	undetectedMS   = 10_000.0 // detection time that counts for a director that never detects a loss
)

// Actions of the testbed on a site, and states that directors report.
const (
	siteKilled = "site-kill"
	siteBusy   = "site-busy"
	siteBack   = "back"

	stateRecovering = "returning"
	stateIsolated   = "alone"
)

// isUnavailableState reports whether a director sends no requests to a site that it reports in the named state.
func isUnavailableState(name string) bool {
	return name == "lost" || name == "cut off" || name == "relapsed"
}

// siteLoss is one loss of a site, from the fault until the site has recovered.
type siteLoss struct {
	site     string  // empty for a fault of the links to all caches
	fault    string  // the testbed's action, or the kind of link fault
	share    float64 // share of the site's servers that is lost, from 0 to 1
	from, to float64 // ms; to is forever for a loss that does not end
}

// covers reports whether the loss justifies that a director reports a site as unavailable at a time.
func (l siteLoss) covers(site string, at float64) bool {
	return (l.site == site || l.site == "") && at >= l.from && at <= l.to+alarmGrace
}

// siteLosses returns the losses of sites that the testbed caused, in order of their start.
func (h *history) siteLosses() []siteLoss {
	var losses []siteLoss
	for _, ev := range h.events {
		if ev.Kind != kindSite {
			continue
		}
		if ev.What != siteBack {
			losses = append(losses, siteLoss{site: ev.Who, fault: ev.What, share: ev.Value, from: ev.AtMS, to: forever})
			continue
		}
		for i := len(losses) - 1; i >= 0; i-- {
			if losses[i].site == ev.Who && losses[i].to == forever {
				losses[i].to = ev.AtMS
				break
			}
		}
	}
	return losses
}

// siteMetrics computes the metrics of the loss of sites. Without a loss, only the metrics of alarmMetrics are set.
func (h *history) siteMetrics(metrics map[string]float64) {
	losses := h.siteLosses()
	h.alarmMetrics(metrics, losses)
	if len(losses) == 0 {
		return
	}
	end := h.endMS()
	for _, ev := range h.events {
		if ev.Kind == kindLoad && ev.What == "end" {
			end = ev.AtMS
		}
	}
	from, to := losses[0].from, 0.0
	for _, loss := range losses {
		to = max(to, min(loss.to, end))
	}
	h.outcomesDuring(metrics, from, to)
	metrics["served_share_bound"] = h.servableShare(from, to)
	metrics["survivor_peak"] = h.survivorPeak(losses)
	metrics["detect_ms_p95"] = h.detectionTime(losses)
	metrics["return_ms_90"] = h.recoveryTime(from, to, end)
}

// outcomesDuring computes the served share of the requests that come within a period, as servedShare does, and the
// refused shares of repayments and of all other requests.
func (h *history) outcomesDuring(metrics map[string]float64, from, to float64) {
	requests := map[string]event{}
	var firstTries, served, repayments, others, repaymentsRefused, othersRefused float64
	for _, ev := range h.events {
		within := ev.AtMS >= from && ev.AtMS < to
		switch {
		case ev.Kind == kindNowhere && within:
			firstTries++
		case ev.Kind == kindAsk && within:
			requests[ev.Ref] = ev
			if ev.Class == classRepayment {
				repayments++
			} else {
				others++
			}
			if !ev.Retry {
				firstTries++
			}
		case ev.Kind == kindAnswer:
			request, known := requests[ev.Ref]
			switch {
			case !known:
			case ev.What == outcomeServed:
				served++
			case ev.What == outcomeRefused && request.Class == classRepayment:
				repaymentsRefused++
			case ev.What == outcomeRefused:
				othersRefused++
			}
		}
	}
	metrics["served_share_loss"] = min(1, ratio(served, firstTries))
	metrics["repayments_refused_share"] = ratio(repaymentsRefused, repayments)
	metrics["others_refused_share"] = ratio(othersRefused, others)
	metrics["repayments_refused_excess"] = metrics["repayments_refused_share"] - metrics["others_refused_share"]
}

// survivorPeak returns the largest load of any server in one peakWindow, as a multiple of the server's capacity. It
// counts the work that a server gets during the loss of another site but not of its own. Each loss extends to
// alarmGrace after its end.
func (h *history) survivorPeak(losses []siteLoss) float64 {
	capacities := h.capacities()
	type key struct {
		server string
		window int
	}
	work := map[key]float64{}
	for _, ev := range h.events {
		if ev.Kind != kindReq && ev.Kind != kindSource {
			continue
		}
		duringLoss := func(loss siteLoss) bool { return ev.AtMS >= loss.from && ev.AtMS < loss.to+alarmGrace }
		anyLoss := slices.ContainsFunc(losses, duringLoss)
		ownLoss := slices.ContainsFunc(losses, func(loss siteLoss) bool {
			return duringLoss(loss) && loss.site == capacities[ev.Who].start.Site
		})
		if anyLoss && !ownLoss {
			work[key{ev.Who, int(ev.AtMS / peakWindow)}] += ev.Work
		}
	}
	peak := 0.0
	for k, sum := range work {
		if capacity := capacities[k.server].at((float64(k.window) + 0.5) * peakWindow); capacity > 0 {
			peak = max(peak, sum/(capacity*peakWindow/1000))
		}
	}
	return peak
}

// recoveryTime returns the time in milliseconds from the end of the last loss until the served share recovers. The
// served share has recovered when it is, in two consecutive bins, at least nine tenths of the share in the
// baselinePeriod before the first loss. The losses last between the times from and to. If the share never recovers,
// recoveryTime returns the time between to and end.
func (h *history) recoveryTime(from, to, end float64) float64 {
	threshold := 0.9 * h.servedShare(max(0, from-baselinePeriod), from)
	for at := to; at+2*siteBinWidth <= end; at += siteBinWidth {
		if h.servedShare(at, at+siteBinWidth) >= threshold &&
			h.servedShare(at+siteBinWidth, at+2*siteBinWidth) >= threshold {
			return at - to
		}
	}
	return max(0, end-to)
}

// servedShare returns the number of requests within a period that were served, including clients' retries, divided by
// the number of the clients' first tries in the period. The result is at most 1, and is 1 if there were no first
// tries.
func (h *history) servedShare(from, to float64) float64 {
	requests := map[string]bool{}
	var firstTries, served float64
	for _, ev := range h.events {
		switch {
		case (ev.Kind == kindAsk || ev.Kind == kindNowhere) && ev.AtMS >= from && ev.AtMS < to:
			requests[ev.Ref] = ev.Kind == kindAsk
			if !ev.Retry {
				firstTries++
			}
		case ev.Kind == kindAnswer && ev.What == outcomeServed && requests[ev.Ref]:
			served++
		}
	}
	if firstTries == 0 {
		return 1
	}
	return min(1, served/firstTries)
}

// servableShare returns the upper bound of the served share of the clients' first tries in a period, given the true
// capacities. Each branch is served by its own caches only, because a request to the caches of another branch is an
// error. Repayments also use capacity of the origin, which all branches share. The bound is a linear program whose only
// shared constraint is the origin, so serving reads first, which use the branch's capacity alone, and then repayments
// with the remaining capacity of the branch and the origin is optimal.
func (h *history) servableShare(from, to float64) float64 {
	demand := h.demandDuring(from, to)
	if demand.maxWork == 0 || demand.requests == 0 {
		return 0
	}
	capacities, losses := h.capacities(), h.siteLosses()
	served := 0.0
	for bin := 0; float64(bin)*siteBinWidth < to-from; bin++ {
		middle := from + (float64(bin)+0.5)*siteBinWidth
		originLeft := demand.originPerSecond * siteBinWidth / 1000
		for _, branch := range demand.branches {
			servable := branchCapacity(capacities, losses, branch, middle) / demand.maxWork * siteBinWidth / 1000
			key := branchBin{branch, bin}
			reads := min(demand.reads[key], servable)
			repayments := min(demand.repayments[key], servable-reads, originLeft)
			originLeft -= repayments
			served += reads + repayments
		}
	}
	return served / demand.requests
}

// branchBin identifies one bin of a period for one branch.
type branchBin struct {
	branch string
	bin    int
}

// branchDemand is the demand of the clients of all branches in a period, without their retries.
type branchDemand struct {
	maxWork           float64               // work of the largest attempt
	requests          float64               // number of requests
	originPerSecond   float64               // capacity of the origin, in requests per second
	branches          []string              // in the order of their first request
	reads, repayments map[branchBin]float64 // number of requests
}

// demandDuring returns the demand between from and to.
func (h *history) demandDuring(from, to float64) branchDemand {
	demand := branchDemand{
		originPerSecond: math.Inf(1),
		reads:           map[branchBin]float64{},
		repayments:      map[branchBin]float64{},
	}
	for _, ev := range h.events {
		switch ev.Kind {
		case kindCapacity:
			demand.originPerSecond = ev.Value
		case kindReq:
			demand.maxWork = max(demand.maxWork, ev.Work)
		case kindAsk, kindNowhere:
			if ev.Retry || ev.AtMS < from || ev.AtMS >= to {
				continue
			}
			key := branchBin{ev.Site, int((ev.AtMS - from) / siteBinWidth)}
			if ev.Class == classRepayment {
				demand.repayments[key]++
			} else {
				demand.reads[key]++
			}
			demand.requests++
			if !slices.Contains(demand.branches, ev.Site) {
				demand.branches = append(demand.branches, ev.Site)
			}
		}
	}
	return demand
}

// branchCapacity returns the capacity of a branch's caches at a time, in concurrent transfers.
func branchCapacity(capacities map[string]capacity, losses []siteLoss, branch string, at float64) float64 {
	sum := 0.0
	for _, server := range capacities {
		if server.start.Site == branch {
			sum += server.at(at)
		}
	}
	for _, loss := range losses {
		// The life event of a killed server ends its capacity, so the loss does not count a second time.
		if loss.site == branch && at >= loss.from && at < loss.to && loss.fault != siteKilled {
			sum *= 1 - loss.share
		}
	}
	return sum
}

// capacity is the capacity of a server between its start and its end, in concurrent transfers.
type capacity struct {
	from, until float64 // ms since the start of the run
	start       event   // the life event of the start, which holds the weight and the ramp
}

// at returns the capacity at a time, which ramps up after the start. It is 0 while the server is down.
func (c capacity) at(ms float64) float64 {
	if ms < c.from || ms >= c.until {
		return 0
	}
	if c.start.Ramp <= 0 {
		return c.start.Weight
	}
	return c.start.Weight * min(1, c.start.ColdFrom+(1-c.start.ColdFrom)*(ms-c.from)/c.start.Ramp)
}

// capacities returns the capacities of all servers by name. A server that started again has those of its latest start.
func (h *history) capacities() map[string]capacity {
	all := map[string]capacity{}
	for _, ev := range h.events {
		if ev.Kind != kindLife {
			continue
		}
		if ev.What == "up" {
			all[ev.Who] = capacity{from: ev.AtMS, until: forever, start: ev}
		} else if server, known := all[ev.Who]; known {
			server.until = min(server.until, ev.AtMS)
			all[ev.Who] = server
		}
	}
	return all
}

// alarmMetrics counts false alarms, which are reports of a site as unavailable without a loss that covers it. It also
// computes how often directors move load per loss that they detect. It sets cut_off_told to the number of directors
// that reported themselves as isolated from the sites (stateIsolated); reports that a site is "cut off" are not counted
// there.
func (h *history) alarmMetrics(metrics map[string]float64, losses []siteLoss) {
	losses = slices.Concat(losses, h.linkLosses())
	// Reporting a site as lost while at least half of its servers are available is a false alarm as well.
	losses = slices.DeleteFunc(losses, func(loss siteLoss) bool { return loss.share <= 0.5 })
	loadMoves, detected := 0.0, 0.0
	seen, isolated := map[string]bool{}, map[string]bool{}
	for _, ev := range h.events {
		if ev.Kind != kindState {
			continue
		}
		if ev.What == stateIsolated {
			isolated[ev.Who] = true
			continue
		}
		unavailable := isUnavailableState(ev.What)
		explained := slices.ContainsFunc(losses, func(loss siteLoss) bool { return loss.covers(ev.Site, ev.AtMS) })
		if unavailable && !explained {
			metrics["false_alarms"]++
		}
		if unavailable || ev.What == stateRecovering {
			loadMoves++
		}
		for i, loss := range losses {
			key := ev.Who + " " + ev.Site + " " + strconv.Itoa(i)
			if unavailable && loss.covers(ev.Site, ev.AtMS) && !seen[key] {
				seen[key] = true
				detected++
			}
		}
	}
	metrics["moves_per_event"] = ratio(loadMoves, detected)
	metrics["cut_off_told"] = float64(len(isolated)) // directors that reported stateIsolated, not the state "cut off"
}

// linkLosses returns the faults of the links to caches that can lose answers, as losses of all sites, because a
// director cannot reach the sites behind faulty links.
func (h *history) linkLosses() []siteLoss {
	var losses []siteLoss
	for _, ev := range h.events {
		if ev.Kind != kindLink || ev.Who != "caches" || !ev.startsLossyFault() {
			continue
		}
		loss := siteLoss{fault: ev.What, share: 1, from: ev.AtMS, to: forever}
		for _, later := range h.events {
			if later.Kind == kindLink && later.Who == ev.Who && later.What == faultCleared && later.AtMS > ev.AtMS {
				loss.to = later.AtMS
				break
			}
		}
		losses = append(losses, loss)
	}
	return losses
}
