package routing

import (
	"math"
)

// The budget of servers that have started lately (slow start).

// share is the part of its capacity that a server can give now.
func (d *Router) share(s *server) float64 {
	if s.cold == 0 || s.role == origin || d.now-s.cold > s.ramp {
		s.cold = 0
		return 1
	}
	return min(1, s.coldFrom+(1-s.coldFrom)*max(0, float64(d.now-s.cold)/float64(s.ramp)))
}

// coldRate is the sending time a second that a cold server may get from us: our part of the cold budget.
func (d *Router) coldRate(s *server) float64 {
	capacity := d.carriedByLike(s) // our part of it, in transfers
	if s.sized {
		capacity = s.Weight / s.seats
	}
	return coldUse * s.multiple * d.share(s) * capacity
}

// affordable is the cold budget of a server, as target or as source: whether work more may reach it.
func (d *Router) affordable(s *server, work float64) bool {
	if s == nil || s.cold == 0 || s.role == origin {
		return true
	}
	rate := d.coldRate(s)
	spent := s.spent.Spent(d.now, rate)
	return spent == 0 || spent+work <= rate*d.s.Guarantees.OverloadWindow.Seconds()/2
}

// carriedByLike is what warm servers of like kind carry for us, in transfers: a low estimate of our part.
func (d *Router) carriedByLike(s *server) float64 {
	sum, n := 0.0, 0.0
	for _, o := range d.like(s) {
		if o.cold == 0 && !o.ejected {
			sum += o.carried * math.Exp(-float64(d.now-o.carriedAt)/float64(carryOver)) / carryOver.Seconds()
			n++
		}
	}
	return max(coldCarry/float64(max(d.s.Directors, 1)), sum/max(n, 1))
}
