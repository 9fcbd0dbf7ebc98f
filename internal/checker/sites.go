package checker

import (
	"math"
	"slices"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	siteBinWidth   = 500.0   // for shares over time
	peakWindow     = 1_000.0 // over which a survivor's work is summed
	baselinePeriod = 3_000.0 // ahead of the first loss, for what was served then
	alarmGrace     = 6_000.0 // after a site is back, for which being called lost is no false alarm
	undetectedMS   = 10_000.0
)

// siteLoss is one siteLoss of a site, from what broke it until it was back.
type siteLoss struct {
	site     string
	fault    string
	share    float64 // of its servers
	from, to float64
}

func (r *history) siteLosses() (list []siteLoss) {
	for _, l := range r.events {
		if l.Kind != "site" {
			continue
		}
		if l.What != "back" {
			list = append(list, siteLoss{l.Who, l.What, l.Value, l.AtMS, forever})
			continue
		}
		for i := len(list) - 1; i >= 0; i-- {
			if list[i].site == l.Who && list[i].to == forever {
				list[i].to = l.AtMS
				break
			}
		}
	}
	return list
}

// homeSites tells for each director which sites it has to do with: its branch, by what it was asked, and the branch's hub.
func (r *history) homeSites() map[string][]string {
	home := map[string][]string{}
	hub := map[string]string{}
	for _, l := range r.events {
		switch l.Kind {
		case "home":
			hub[l.Who] = l.What
		case "ask":
			if home[l.Director] == nil && l.Site != "" {
				home[l.Director] = []string{l.Site, hub[l.Site]}
			}
		}
	}
	return home
}

// siteMetrics reads how the loss of sites was borne.
func (r *history) siteMetrics(f map[string]float64) {
	losses := r.siteLosses()
	r.falseAlarms(f, losses)
	if len(losses) == 0 {
		return
	}
	end := r.events[len(r.events)-1].AtMS
	for _, l := range r.events {
		if l.Kind == "load" && l.What == "end" {
			end = l.AtMS
		}
	}
	from, to := losses[0].from, 0.0
	for _, x := range losses {
		to = max(to, min(x.to, end))
	}
	r.sharesDuring(f, from, to)
	f["served_share_bound"] = r.servableShare(from, to)
	f["survivor_peak"] = r.survivorPeak(losses)
	f["detect_ms_p95"] = r.detectionTime(losses)
	f["return_ms_90"] = r.recoveryTime(from, to, end)
}

// sharesDuring counts what was asked within a span by class: served, and refused.
func (r *history) sharesDuring(f map[string]float64, from, to float64) {
	asks := map[string]event{}
	var first, served float64
	tries, refused := map[string]float64{}, map[string]float64{}
	class := func(l event) string {
		if l.Class == "repayment" {
			return l.Class
		}
		return "other"
	}
	for _, l := range r.events {
		switch {
		case l.Kind == "nowhere" && l.AtMS >= from && l.AtMS < to:
			first++
		case l.Kind == "ask" && l.AtMS >= from && l.AtMS < to:
			asks[l.Ref] = l
			tries[class(l)]++
			if !l.Retry {
				first++
			}
		case l.Kind == "answer":
			q, ok := asks[l.Ref]
			switch {
			case !ok:
			case l.What == "served":
				served++
			case l.What == "refused":
				refused[class(q)]++
			}
		}
	}
	f["served_share_loss"] = min(1, ratio(served, first))
	f["repayments_refused_share"] = ratio(refused["repayment"], tries["repayment"])
	f["others_refused_share"] = ratio(refused["other"], tries["other"])
	f["repayments_refused_excess"] = f["repayments_refused_share"] - f["others_refused_share"]
}

// capacity is what a server can do at a time, in transfers; 0 while it is down.
type capacity struct {
	from, until float64
	start       event
}

func (c capacity) at(ms float64) float64 {
	if ms < c.from || ms >= c.until {
		return 0
	}
	if c.start.Ramp <= 0 {
		return c.start.Weight
	}
	return c.start.Weight * min(1, c.start.ColdFrom+(1-c.start.ColdFrom)*(ms-c.from)/c.start.Ramp)
}

// capacities are those of all servers by name; one that says nothing, or turns all away, can do nothing.
func (r *history) capacities() map[string]capacity {
	all := map[string]capacity{}
	for _, l := range r.events {
		if l.Kind != "life" {
			continue
		}
		if l.What == "up" {
			all[l.Who] = capacity{l.AtMS, forever, l}
		} else if c, ok := all[l.Who]; ok {
			c.until = min(c.until, l.AtMS)
			all[l.Who] = c
		}
	}
	return all
}

// servableShare is the part of the first tries in a span that could be served by one who sees all, by true capacity: each
// branch by its own caches, as those of others are a fault, and repayments of all branches by the origin too. It is a
// linear program with one constraint that branches share, so that its optimum is found by serving reads first, which
// need no more than the branch, and then repayments with what is left of both.
func (r *history) servableShare(from, to float64) float64 {
	work, origin := 0.0, math.Inf(1)
	caches := r.capacities()
	broken := r.siteLosses()
	type key struct {
		branch string
		bin    int
	}
	reads, writes := map[key]float64{}, map[key]float64{}
	var branches []string
	asked := 0.0
	for _, l := range r.events {
		switch l.Kind {
		case "capacity":
			origin = l.Value
		case "req":
			work = max(work, l.Work)
		case "ask", "nowhere":
			if l.Retry || l.AtMS < from || l.AtMS >= to {
				continue
			}
			k := key{l.Site, int((l.AtMS - from) / siteBinWidth)}
			if l.Class == "repayment" {
				writes[k]++
			} else {
				reads[k]++
			}
			if asked++; !slices.Contains(branches, l.Site) {
				branches = append(branches, l.Site)
			}
		}
	}
	if work == 0 || asked == 0 {
		return 0
	}
	served := 0.0
	for bin := 0; float64(bin)*siteBinWidth < to-from; bin++ {
		at := from + (float64(bin)+0.5)*siteBinWidth
		left := origin * siteBinWidth / 1000
		for _, b := range branches {
			can := 0.0
			for _, c := range caches {
				if c.start.Site == b {
					can += c.at(at)
				}
			}
			for _, x := range broken { // that of processes which ended is told by their lives
				if x.site == b && at >= x.from && at < x.to && x.fault != "site-kill" {
					can *= 1 - x.share
				}
			}
			room := can / work * siteBinWidth / 1000
			k := key{b, bin}
			r := min(reads[k], room)
			w := min(writes[k], room-r, left)
			left -= w
			served += r + w
		}
	}
	return served / asked
}

// survivorPeak is the busiest second of any server of a site that is not lost just then, over its capacity.
func (r *history) survivorPeak(losses []siteLoss) (peak float64) {
	caches := r.capacities()
	type key struct {
		who string
		bin int
	}
	got := map[key]float64{}
	during := func(x siteLoss, ms float64) bool { return ms >= x.from && ms < x.to+alarmGrace }
	for _, l := range r.events {
		if l.Kind != "req" && l.Kind != "source" {
			continue
		}
		any := slices.ContainsFunc(losses, func(x siteLoss) bool { return during(x, l.AtMS) })
		own := slices.ContainsFunc(losses, func(x siteLoss) bool { return during(x, l.AtMS) && x.site == caches[l.Who].start.Site })
		if any && !own {
			got[key{l.Who, int(l.AtMS / peakWindow)}] += l.Work
		}
	}
	for k, work := range got {
		if can := caches[k.who].at((float64(k.bin) + 0.5) * peakWindow); can > 0 {
			peak = max(peak, work/(can*peakWindow/1000))
		}
	}
	return peak
}

// isUnavailableState tells that a director calls a site lost.
func isUnavailableState(what string) bool {
	return what == "lost" || what == "cut off" || what == "relapsed"
}

// detectionTime is the time after which a director that has to do with a site that is lost whole knows it, for nineteen in
// twenty. One that never does counts as notFound, if it asked anybody there meanwhile.
func (r *history) detectionTime(losses []siteLoss) float64 {
	home, times := r.homeSites(), hdrhistogram.New(1, 120_000, 3)
	for _, x := range losses {
		if x.share < 1 || x.fault == "site-busy" { // who turns all away is there, and says so
			continue
		}
		for director, sites := range home {
			if !slices.Contains(sites, x.site) {
				continue
			}
			at, asked, known := undetectedMS, false, false
			for _, l := range r.events {
				switch {
				case l.AtMS > x.to:
				case l.Kind == "state" && l.Who == director && l.Site == x.site:
					if l.AtMS < x.from {
						known = isUnavailableState(l.What) // since a loss just before
					} else if isUnavailableState(l.What) {
						at = min(at, l.AtMS-x.from)
					}
				case l.Kind == "process" && l.Who == director:
					known = false
				case l.AtMS >= x.from && l.Kind == "answer" && l.Director == director:
					asked = asked || (l.What != "unreached" && l.What != "lost")
				}
			}
			if known {
				at = 0
			}
			if asked {
				_ = times.RecordValue(int64(max(1, at)))
			}
		}
	}
	return float64(times.ValueAtQuantile(95))
}

// falseAlarms counts sites that were called lost and were not, and how often a director moves for each loss.
func (r *history) falseAlarms(f map[string]float64, losses []siteLoss) {
	for _, l := range r.events { // a site that a director can't reach is as good as lost to it
		if l.Kind == "link" && l.Who == "caches" && l.What != "well" && l.What != "delay" && l.What != "drip" {
			x := siteLoss{"", l.What, 1, l.AtMS, forever}
			for _, w := range r.events {
				if w.Kind == "link" && w.Who == l.Who && w.What == "well" && w.AtMS > l.AtMS {
					x.to = w.AtMS
					break
				}
			}
			losses = append(losses, x)
		}
	}
	// To call a site lost of which half or more is there is an alarm, too.
	losses = slices.DeleteFunc(slices.Clone(losses), func(x siteLoss) bool { return x.share <= 0.5 })
	moves, events := 0.0, 0.0
	moved, alone := map[string]bool{}, map[string]bool{}
	for _, l := range r.events {
		if l.Kind != "state" {
			continue
		}
		if l.What == "alone" {
			alone[l.Who] = true
			continue
		}
		known := slices.ContainsFunc(losses, func(x siteLoss) bool {
			return (x.site == l.Site || x.site == "") && l.AtMS >= x.from && l.AtMS <= x.to+alarmGrace
		})
		if isUnavailableState(l.What) && !known {
			f["false_alarms"]++
		}
		if isUnavailableState(l.What) || l.What == "returning" {
			moves++
		}
		for i, x := range losses {
			key := l.Who + " " + l.Site + " " + string(rune('a'+i))
			in := (x.site == l.Site || x.site == "") && l.AtMS >= x.from && l.AtMS <= x.to+alarmGrace
			if in && !moved[key] && isUnavailableState(l.What) {
				moved[key] = true
				events++
			}
		}
	}
	f["moves_per_event"] = ratio(moves, events)
	f["cut_off_told"] = float64(len(alone))
}

// recoveryTime is the time from the last return until nine tenths of the part that was served before the loss is served
// again, in two spans one after the other.
func (r *history) recoveryTime(from, to, end float64) float64 {
	share := func(a, b float64) float64 {
		asks := map[string]bool{}
		var first, served float64
		for _, l := range r.events {
			switch {
			case (l.Kind == "ask" || l.Kind == "nowhere") && l.AtMS >= a && l.AtMS < b:
				asks[l.Ref] = l.Kind == "ask"
				if !l.Retry {
					first++
				}
			case l.Kind == "answer" && l.What == "served" && asks[l.Ref]:
				served++
			}
		}
		if first == 0 {
			return 1
		}
		return min(1, served/first)
	}
	want := 0.9 * share(max(0, from-baselinePeriod), from)
	for at := to; at+2*siteBinWidth <= end; at += siteBinWidth {
		if share(at, at+siteBinWidth) >= want && share(at+siteBinWidth, at+2*siteBinWidth) >= want {
			return at - to
		}
	}
	return max(0, end-to)
}

// siteMetricNames are the figures of this file.
var siteMetricNames = strings.Fields(`served_share_loss served_share_bound survivor_peak detect_ms_p95 false_alarms
	moves_per_event return_ms_90 repayments_refused_share others_refused_share repayments_refused_excess bound_share cut_off_told`)
