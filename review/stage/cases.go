package main

import (
	"fmt"
	"net/http"
	"time"
)

// slowPace is the pace of the slow readers that the pages name: 1 MB a second.
const slowPace = 1_000_000

// largest is the size of the largest object that the pages allow.
const largest = 240_000

// load is what a client asks for: it keeps a number of requests open until the time is over.
type load struct {
	open       int           // requests that the client keeps open; the pages allow 32
	until      time.Duration // how long the client goes on sending
	turn       chan struct{} // if set, a value has to be taken for each request
	repayments int           // each request with a number that this divides is a repayment; 0: none
}

// send sends a client's requests. It returns when the time is over or the connection has ended.
func (l load) send(c *client) error {
	end := time.After(l.until)
	for number := 1; ; number++ {
		if !l.mayOpen(c, end) {
			return nil
		}
		var err error
		if l.repayments > 0 && number%l.repayments == 0 {
			err = c.submit("repayment", objectOf(100), 3*time.Second, []byte("42.50 to loan 7"))
		} else {
			err = c.submit("media", objectOf(largest), 5*time.Second, nil)
		}
		if err != nil {
			return err
		}
	}
}

// mayOpen waits until the client may send its next request, and reports false if it is not to send any more.
func (l load) mayOpen(c *client, end <-chan time.Time) bool {
	for c.open() >= l.open {
		select {
		case <-c.changed:
		case <-c.done:
			return false
		case <-end:
			return false
		}
	}
	if l.turn == nil {
		return true
	}
	select {
	case <-l.turn:
		return true
	case <-c.done:
		return false
	case <-end:
		return false
	}
}

// ready starts the director and brings it past the time after its start.
func (s *stage) ready() error {
	if err := s.start(); err != nil {
		return err
	}
	return s.warmUp()
}

// drain drains the director as operators do, if the case has its disruption.
func (s *stage) drain(trouble bool) {
	if !trouble {
		return
	}
	status, err := s.call(http.MethodPut, "/healthcheck/fail")
	s.rec.log("PUT /healthcheck/fail: %d %v", status, err)
}

// turns gives the right to send a request so many times a second.
func turns(perSecond int) chan struct{} {
	given := make(chan struct{})
	go func() {
		for range time.Tick(time.Second / time.Duration(perSecond)) {
			given <- struct{}{}
		}
	}()
	return given
}

// slowBacklog has ten of twenty clients read at 1 MB a second, with up to 32 requests open on each connection. Without
// the disruption they read as fast as the answers come.
func slowBacklog(s *stage, trouble bool) (bool, error) {
	s.memoryMB, s.sockets = 96, 512
	if err := s.ready(); err != nil {
		return false, err
	}
	pace := 0
	if trouble {
		pace = slowPace
	}
	const lasts = 6 * time.Second
	// All clients together send 160 requests a second, below the 170 of the pages.
	many := load{open: 32, until: lasts, turn: turns(120), repayments: 30}
	few := load{open: 4, until: lasts, turn: turns(40), repayments: 30}
	var clients []*client
	begin := func(name string, wanted load, pace int) error {
		c, err := dialClient(s.rec, name, s.listen, pace)
		if err != nil {
			return err
		}
		clients = append(clients, c)
		c.watch(500 * time.Millisecond)
		go func() {
			if err := wanted.send(c); err != nil {
				s.rec.log("%s can't send: %v", c.name, err)
			}
		}()
		return nil
	}
	for i := range 10 {
		if err := begin(fmt.Sprintf("slow%d", i+1), many, pace); err != nil {
			return false, err
		}
		if err := begin(fmt.Sprintf("fast%d", i+1), few, 0); err != nil {
			return false, err
		}
	}
	time.Sleep(lasts)
	return s.judge(clients), nil
}

// drainCutOff drains a director while a client with 32 open requests reads its answers at 1 MB a second.
func drainCutOff(s *stage, trouble bool) (bool, error) {
	return s.drainUnder(trouble, load{open: 32, until: 2 * time.Second})
}

// drainDropped drains a director while a client that keeps four requests open reads its answers at 1 MB a second.
func drainDropped(s *stage, trouble bool) (bool, error) {
	return s.drainUnder(trouble, load{open: 4, until: 3 * time.Second, repayments: 5})
}

// drainUnder drains a director one second after a slow reader has begun with its load.
func (s *stage) drainUnder(trouble bool, wanted load) (bool, error) {
	if err := s.ready(); err != nil {
		return false, err
	}
	c, err := dialClient(s.rec, "slow", s.listen, slowPace)
	if err != nil {
		return false, err
	}
	c.watch(250 * time.Millisecond)
	time.AfterFunc(time.Second, func() { s.drain(trouble) })
	if err := wanted.send(c); err != nil {
		s.rec.log("slow can't send: %v", err)
	}
	return s.judge([]*client{c}), nil
}

// judge waits for the answers that are still owed and reports whether a request was lost.
func (s *stage) judge(clients []*client) bool {
	var result tally
	for _, c := range clients {
		c.waitAll(20 * time.Second)
		result.add(c, s.runs)
	}
	s.rec.say("%v", &result)
	return result.lost+result.wrong > 0
}

// Figures of the rule on purges.
const (
	toldAfterBreak = 2 * time.Second        // what a feed that has broken off would have told counts as told
	toldAfterStop  = 4 * time.Second        // the same for a feed that says nothing and stays open
	purgeSlack     = 500 * time.Millisecond // of the settings
	socketSlack    = 50 * time.Millisecond  // every time limit on sockets is longer by this
	purgeDone      = 6 * time.Second        // until caches have dropped all older copies
	feedDown       = 8 * time.Second
)

// feedDownPurge has the control feed be down for 8 s from the middle of the event of a purge. Without the disruption
// the feed tells the purge at once.
func feedDownPurge(s *stage, trouble bool) (bool, error) {
	if err := s.ready(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second) // the stream of the control feed is no new one
	c, err := dialClient(s.rec, "client", s.listen, 0)
	if err != nil {
		return false, err
	}
	object := objectOf(20_000)
	purgedAt := time.Now()
	for _, cache := range s.caches {
		cache.purge(object, purgedAt, purgeDone-100*time.Millisecond)
	}
	time.Sleep(150 * time.Millisecond) // directors hear of a purge after 99 to 320 ms
	event := fmt.Sprintf(`"purge":{"key":%q,"at":%d}`, object, purgedAt.UnixMilli())
	told := time.Now()
	upAgain := make(chan error, 1)
	if trouble {
		s.feed.down(event)
		told = told.Add(toldAfterBreak)
		time.AfterFunc(feedDown, func() { upAgain <- s.feed.up() })
	} else {
		s.feed.add(event)
		upAgain <- nil
	}
	for time.Since(purgedAt) < feedDown+2*time.Second {
		if err := c.submit("media", object, 5*time.Second, nil); err != nil {
			return false, err
		}
		time.Sleep(50 * time.Millisecond)
	}
	if err := <-upAgain; err != nil {
		return false, err
	}
	old := s.oldCopies("the bound", purgedAt, told.Add(purgeSlack+socketSlack))
	s.oldCopies("the bound for a feed that stops, for comparison", purgedAt,
		told.Add(toldAfterStop-toldAfterBreak+purgeSlack+socketSlack))
	return s.judge([]*client{c}) || old > 0, nil
}

// oldCopies returns how many requests that a cache received after a bound were answered with a copy from before the
// purge.
func (s *stage) oldCopies(name string, purgedAt, bound time.Time) int {
	old, all := 0, 0
	for _, cache := range s.caches {
		cache.mu.Lock()
		for _, copied := range cache.served {
			all++
			if copied.received.After(bound) && copied.since.Before(purgedAt) {
				old++
				s.rec.log("OLD COPY: %s sent %.1f ms after %s", copied.request,
					float64(copied.received.Sub(bound).Microseconds())/1000, name)
			}
		}
		cache.mu.Unlock()
	}
	s.rec.say("%d answers with the object, %d of them from a copy older than the purge and sent after %s", all, old,
		name)
	return old
}
