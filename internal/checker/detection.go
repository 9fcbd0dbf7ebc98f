package checker

import "slices"

// detectionTime is the time after which a director that has to do with a site that is lost whole knows it, for nineteen
// in twenty. One that never does counts as undetectedMS, if it asked anybody there meanwhile.
func (h *history) detectionTime(losses []siteLoss) float64 {
	sitesOf, times := h.sitesOfDirectors(), newHistogram()
	for _, loss := range losses {
		if loss.share < 1 || loss.fault == siteBusy { // servers that turn all requests away are there, and say so
			continue
		}
		for director, sites := range sitesOf {
			if !slices.Contains(sites, loss.site) {
				continue
			}
			if at, asked := h.detectedBy(director, loss); asked {
				record(times, at)
			}
		}
	}
	return float64(times.ValueAtQuantile(95))
}

// sitesOfDirectors are the sites that each director has to do with: its branch, by what it was asked, and the branch's
// hub.
func (h *history) sitesOfDirectors() map[string][]string {
	sites := map[string][]string{}
	hubs := map[string]string{} // by branch
	for _, ev := range h.events {
		switch ev.Kind {
		case kindHome:
			hubs[ev.Who] = ev.What
		case kindAsk:
			if sites[ev.Director] == nil && ev.Site != "" {
				sites[ev.Director] = []string{ev.Site, hubs[ev.Site]}
			}
		}
	}
	return sites
}

// detectedBy is the time from a loss until a director called the site lost, and whether the director was asked for
// anything that it could answer meanwhile.
func (h *history) detectedBy(director string, loss siteLoss) (after float64, asked bool) {
	after = undetectedMS
	known := false // since a loss just before
	for _, ev := range h.events {
		switch {
		case ev.AtMS > loss.to:
		case ev.Kind == kindState && ev.Who == director && ev.Site == loss.site:
			unavailable := isUnavailableState(ev.What)
			if ev.AtMS < loss.from {
				known = unavailable
			} else if unavailable {
				after = min(after, ev.AtMS-loss.from)
			}
		case ev.Kind == kindProcess && ev.Who == director:
			known = false
		case ev.AtMS >= loss.from && ev.Kind == kindAnswer && ev.Director == director:
			asked = asked || (ev.What != "unreached" && ev.What != "lost")
		}
	}
	if known {
		after = 0
	}
	return after, asked
}
