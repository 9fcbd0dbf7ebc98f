package checker

import (
	"math"
	"slices"
	"strconv"
	"strings"
)

// siteMetricNames are the metrics of the loss of whole sites.
var siteMetricNames = strings.Fields(`
	served_share_loss served_share_bound survivor_peak detect_ms_p95 false_alarms moves_per_event return_ms_90
	repayments_refused_share others_refused_share repayments_refused_excess bound_share cut_off_told`)

const (
	siteBinWidth   = 500.0    // for shares over time
	peakWindow     = 1_000.0  // over which a survivor's work is summed
	baselinePeriod = 3_000.0  // ahead of the first loss, for what was served then
	alarmGrace     = 6_000.0  // after a site is back, in which calling it lost is no false alarm
	undetectedMS   = 10_000.0 // that a loss counts for which a director never noticed
)

// What the testbed does to a site, and what directors call a site.
const (
	siteKilled = "site-kill"
	siteBusy   = "site-busy"
	siteBack   = "back"

	stateRecovering = "returning"
	stateIsolated   = "alone"
)

// isUnavailableState reports whether a director that calls a site so sends nothing there.
func isUnavailableState(name string) bool {
	return name == "lost" || name == "cut off" || name == "relapsed"
}

// siteLoss is one loss of a site, from the fault until it was back.
type siteLoss struct {
	site     string // empty: all sites of a director whose links are faulty
	fault    string
	share    float64 // of its servers
	from, to float64
}

// covers reports whether a director may call a site lost at a time because of this loss.
func (l siteLoss) covers(site string, at float64) bool {
	return (l.site == site || l.site == "") && at >= l.from && at <= l.to+alarmGrace
}

// siteLosses are the losses of sites that the testbed has caused.
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

// siteMetrics measures how the loss of sites was borne.
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

// outcomesDuring counts what was asked within a period: what was served, and what was refused by class.
func (h *history) outcomesDuring(metrics map[string]float64, from, to float64) {
	asks := map[string]event{}
	var first, served, repayments, others, repaymentsRefused, othersRefused float64
	for _, ev := range h.events {
		within := ev.AtMS >= from && ev.AtMS < to
		switch {
		case ev.Kind == kindNowhere && within:
			first++
		case ev.Kind == kindAsk && within:
			asks[ev.Ref] = ev
			if ev.Class == classRepayment {
				repayments++
			} else {
				others++
			}
			if !ev.Retry {
				first++
			}
		case ev.Kind == kindAnswer:
			ask, known := asks[ev.Ref]
			switch {
			case !known:
			case ev.What == outcomeServed:
				served++
			case ev.What == outcomeRefused && ask.Class == classRepayment:
				repaymentsRefused++
			case ev.What == outcomeRefused:
				othersRefused++
			}
		}
	}
	metrics["served_share_loss"] = min(1, ratio(served, first))
	metrics["repayments_refused_share"] = ratio(repaymentsRefused, repayments)
	metrics["others_refused_share"] = ratio(othersRefused, others)
	metrics["repayments_refused_excess"] = metrics["repayments_refused_share"] - metrics["others_refused_share"]
}

// survivorPeak is the busiest second of any server of a site that is not lost just then, over its capacity.
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

// recoveryTime is the time from the last return until nine tenths of the share that was served before the loss is
// served again, in two bins one after the other.
func (h *history) recoveryTime(from, to, end float64) float64 {
	wanted := 0.9 * h.servedShare(max(0, from-baselinePeriod), from)
	for at := to; at+2*siteBinWidth <= end; at += siteBinWidth {
		if h.servedShare(at, at+siteBinWidth) >= wanted && h.servedShare(at+siteBinWidth, at+2*siteBinWidth) >= wanted {
			return at - to
		}
	}
	return max(0, end-to)
}

// servedShare is the share of the first attempts of clients within a period that was served; 1 where there were none.
func (h *history) servedShare(from, to float64) float64 {
	asks := map[string]bool{}
	var first, served float64
	for _, ev := range h.events {
		switch {
		case (ev.Kind == kindAsk || ev.Kind == kindNowhere) && ev.AtMS >= from && ev.AtMS < to:
			asks[ev.Ref] = ev.Kind == kindAsk
			if !ev.Retry {
				first++
			}
		case ev.Kind == kindAnswer && ev.What == outcomeServed && asks[ev.Ref]:
			served++
		}
	}
	if first == 0 {
		return 1
	}
	return min(1, served/first)
}

// servableShare is the part of the first attempts in a period that could be served by someone who knows the true
// capacities: each branch by its own caches, as those of others are a fault, and repayments of all branches by the
// origin too. It is a linear program with one constraint that branches share, so that its optimum is found by serving
// reads first, which need no more than the branch, and then repayments with what is left of both.
func (h *history) servableShare(from, to float64) float64 {
	demand := h.demandDuring(from, to)
	if demand.work == 0 || demand.asked == 0 {
		return 0
	}
	capacities, losses := h.capacities(), h.siteLosses()
	served := 0.0
	for bin := 0; float64(bin)*siteBinWidth < to-from; bin++ {
		middle := from + (float64(bin)+0.5)*siteBinWidth
		originLeft := demand.originPerSecond * siteBinWidth / 1000
		for _, branch := range demand.branches {
			room := branchCapacity(capacities, losses, branch, middle) / demand.work * siteBinWidth / 1000
			key := branchBin{branch, bin}
			reads := min(demand.reads[key], room)
			writes := min(demand.writes[key], room-reads, originLeft)
			originLeft -= writes
			served += reads + writes
		}
	}
	return served / demand.asked
}

// branchBin is a branch in a part of a period.
type branchBin struct {
	branch string
	bin    int
}

// branchDemand is what the clients of all branches ask for in a period.
type branchDemand struct {
	work            float64 // of the largest request
	asked           float64
	originPerSecond float64
	branches        []string // in the order of their first request
	reads, writes   map[branchBin]float64
}

func (h *history) demandDuring(from, to float64) branchDemand {
	demand := branchDemand{
		originPerSecond: math.Inf(1),
		reads:           map[branchBin]float64{},
		writes:          map[branchBin]float64{},
	}
	for _, ev := range h.events {
		switch ev.Kind {
		case kindCapacity:
			demand.originPerSecond = ev.Value
		case kindReq:
			demand.work = max(demand.work, ev.Work)
		case kindAsk, kindNowhere:
			if ev.Retry || ev.AtMS < from || ev.AtMS >= to {
				continue
			}
			key := branchBin{ev.Site, int((ev.AtMS - from) / siteBinWidth)}
			if ev.Class == classRepayment {
				demand.writes[key]++
			} else {
				demand.reads[key]++
			}
			demand.asked++
			if !slices.Contains(demand.branches, ev.Site) {
				demand.branches = append(demand.branches, ev.Site)
			}
		}
	}
	return demand
}

// branchCapacity is what the caches of a branch can do at a time, in transfers.
func branchCapacity(capacities map[string]capacity, losses []siteLoss, branch string, at float64) float64 {
	sum := 0.0
	for _, server := range capacities {
		if server.start.Site == branch {
			sum += server.at(at)
		}
	}
	for _, loss := range losses {
		// The end of a killed process is among the events of its server.
		if loss.site == branch && at >= loss.from && at < loss.to && loss.fault != siteKilled {
			sum *= 1 - loss.share
		}
	}
	return sum
}

// capacity is what a server can do over time, in transfers.
type capacity struct {
	from, until float64
	start       event
}

// at is the capacity at a time; 0 while the server is down.
func (c capacity) at(ms float64) float64 {
	if ms < c.from || ms >= c.until {
		return 0
	}
	if c.start.Ramp <= 0 {
		return c.start.Weight
	}
	return c.start.Weight * min(1, c.start.ColdFrom+(1-c.start.ColdFrom)*(ms-c.from)/c.start.Ramp)
}

// capacities are those of all servers, by name.
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

// alarmMetrics counts sites that were called lost and were not, how often a director moves load for each loss, and the
// directors that called themselves isolated.
func (h *history) alarmMetrics(metrics map[string]float64, losses []siteLoss) {
	losses = slices.Concat(losses, h.linkLosses())
	// To call a site lost of which half or more is there is a false alarm, too.
	losses = slices.DeleteFunc(losses, func(loss siteLoss) bool { return loss.share <= 0.5 })
	moves, noticed := 0.0, 0.0
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
			moves++
		}
		for i, loss := range losses {
			key := ev.Who + " " + ev.Site + " " + strconv.Itoa(i)
			if unavailable && loss.covers(ev.Site, ev.AtMS) && !seen[key] {
				seen[key] = true
				noticed++
			}
		}
	}
	metrics["moves_per_event"] = ratio(moves, noticed)
	metrics["cut_off_told"] = float64(len(isolated))
}

// linkLosses are faults of the links to caches: a site that a director can't reach is as good as lost to it.
func (h *history) linkLosses() []siteLoss {
	var losses []siteLoss
	for _, ev := range h.events {
		if ev.Kind != kindLink || ev.Who != "caches" || !ev.harmsLink() {
			continue
		}
		loss := siteLoss{fault: ev.What, share: 1, from: ev.AtMS, to: forever}
		for _, later := range h.events {
			if later.Kind == kindLink && later.Who == ev.Who && later.What == linkWell && later.AtMS > ev.AtMS {
				loss.to = later.AtMS
				break
			}
		}
		losses = append(losses, loss)
	}
	return losses
}
