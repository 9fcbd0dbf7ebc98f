package checker

import "slices"

// detectionTime returns the 95th percentile of the time, in milliseconds, that directors take to detect the loss of a
// whole site. It leaves out losses by site-busy. It counts the directors that use the site and had a request during the
// loss with an outcome other than "unreached" or "lost"; a timeout ("none") is sufficient. A director that does not
// report the site as unavailable during the loss counts as undetectedMS.
func (h *history) detectionTime(losses []siteLoss) float64 {
	sitesByDirector, times := h.sitesOfDirectors(), newHistogram()
	for _, loss := range losses {
		if loss.share < 1 || loss.fault == siteBusy { // servers that reject all requests are still reachable
			continue
		}
		for director, sites := range sitesByDirector {
			if !slices.Contains(sites, loss.site) {
				continue
			}
			if delay, answered := h.detectionDelay(director, loss); answered {
				record(times, delay)
			}
		}
	}
	return float64(times.ValueAtQuantile(95))
}

// sitesOfDirectors returns the sites that each director uses: the branch whose clients send it requests, and the hub of
// that branch.
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

// detectionDelay returns the time in milliseconds from a loss until a director reported the site as unavailable, and
// whether the director counts as having answered during the loss: the history then records an outcome other than
// "unreached" or "lost" for one of its requests, which may be a timeout ("none"). The delay is 0 if the director's
// latest report of the site before the loss was unavailable and no event of the director's process followed until the
// end of the loss. The delay is at most undetectedMS, which also stands for a director that did not report the site as
// unavailable during the loss.
func (h *history) detectionDelay(director string, loss siteLoss) (delay float64, answered bool) {
	delay = undetectedMS
	alreadyUnavailable := false // the director's report before this loss, for example because of an earlier loss
	for _, ev := range h.events {
		switch {
		case ev.AtMS > loss.to:
		case ev.Kind == kindState && ev.Who == director && ev.Site == loss.site:
			unavailable := isUnavailableState(ev.What)
			if ev.AtMS < loss.from {
				alreadyUnavailable = unavailable
			} else if unavailable {
				delay = min(delay, ev.AtMS-loss.from)
			}
		case ev.Kind == kindProcess && ev.Who == director:
			alreadyUnavailable = false
		case ev.AtMS >= loss.from && ev.Kind == kindAnswer && ev.Director == director:
			answered = answered || (ev.What != "unreached" && ev.What != "lost")
		}
	}
	if alreadyUnavailable {
		delay = 0
	}
	return delay, answered
}
