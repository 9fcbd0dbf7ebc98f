// Package feed follows the control feed: numbered events on a TCP stream, one JSON object a line, that tell
// of members and purges. It resumes behind the last event it has after every loss.
package feed

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"shaleyard/internal/config"
	"shaleyard/internal/director"
	"shaleyard/internal/loop"
	"shaleyard/rules"
)

// Sink takes the feed's news; it is the director.
type Sink interface {
	Members(full bool, version uint64, list []director.Member)
	Purge(object uint64, group int, made rules.Time)
}

// Counters count what the feed brought.
type Counters struct {
	Connects, ConnectsFailed, Losses, Silences, Redirects uint64
	Lines, Events, BadLines, SkippedEntries               uint64
}

// Follower follows one feed.
type Follower struct {
	Counters Counters

	limits  *config.Limits
	address string
	dialer  loop.Dialer
	sink    Sink
	agenda  *director.Agenda
	now     func() rules.Time
	zones   map[string]int
	kinds   map[string]int
	last    uint64 // number of the last event taken
	stream  *stream
	silence director.Entry
	again   director.Entry // the next dial
	logf    func(string, ...any)
}

// New returns a follower of the feed at the address, for the settings' zones and kinds.
func New(l *config.Limits, s *rules.Settings, address string, d loop.Dialer, sink Sink,
	a *director.Agenda, now func() rules.Time, logf func(string, ...any)) *Follower {
	f := &Follower{limits: l, address: address, dialer: d, sink: sink, agenda: a, now: now,
		zones: map[string]int{}, kinds: map[string]int{}, logf: logf}
	for i, z := range s.Zones {
		f.zones[z] = i
	}
	for i, k := range s.Kinds {
		f.kinds[k] = i
	}
	return f
}

// Replay takes the events that the configuration holds.
func (f *Follower) Replay(k config.Known) error {
	for i, e := range k.Events {
		if err := f.take(e, false); err != nil {
			return fmt.Errorf("known.events[%d]: %w", i, err)
		}
	}
	if f.last > k.N {
		return fmt.Errorf("known.n: %d, but its events go to %d", k.N, f.last)
	}
	f.last = k.N
	return nil
}

// Start connects and from then on keeps the feed up.
func (f *Follower) Start() {
	f.stream = &stream{f: f}
	f.dialer.Dial(f.address, f.limits.ConnectTimeout, f.stream)
}

// Connected tells whether the feed is up.
func (f *Follower) Connected() bool { return f.stream != nil && f.stream.link != nil }

// retry gives the present stream up and connects again: at once after a live one, later after a failed dial.
func (f *Follower) retry(s *stream, wait time.Duration) {
	if f.stream != s {
		return
	}
	f.stream = nil
	f.agenda.Drop(&f.silence)
	if s.link != nil {
		s.link.Close()
	}
	f.agenda.Set(&f.again, f.now()+wait, f.Start)
}

// Redirect follows the feed at another address from now on, behind the last event taken. What the old one
// still says counts no more: its stream is given up before the new one is opened, so that no event can come
// twice or out of turn.
func (f *Follower) Redirect(address string) {
	if address == f.address {
		return
	}
	f.address = address
	f.Counters.Redirects++
	if f.stream != nil {
		f.retry(f.stream, 0)
		return
	}
	f.agenda.Set(&f.again, f.now(), f.Start)
}

// listen limits the time to the next line. A feed that is cut off says nothing: only this ends it, and what
// it would have told counts as told all the same.
func (f *Follower) listen(s *stream) {
	f.agenda.Set(&f.silence, f.now()+f.limits.FeedSilence, func() {
		f.Counters.Silences++
		f.logf("feed silent for %v: reconnecting behind event %d", f.limits.FeedSilence, f.last)
		f.retry(s, 0)
	})
}

// stream is one connection to the feed.
type stream struct {
	f     *Follower
	link  loop.Conn
	line  []byte
	spoke bool // a good line has come
}

func (s *stream) Opened(c loop.Conn) {
	if s.f.stream != s {
		c.Close()
		return
	}
	s.link = c
	s.f.Counters.Connects++
	s.f.listen(s)
	sub := strconv.AppendUint([]byte("SUB "), s.f.last, 10)
	if _, err := c.Writev([][]byte{append(sub, '\n')}); err != nil {
		s.f.retry(s, s.f.limits.FeedRetry)
	}
}

func (s *stream) Failed(error) {
	s.f.Counters.ConnectsFailed++
	s.f.retry(s, s.f.limits.FeedRetry)
}

// Closed connects again. What the feed has to tell counts as told while it is down, so a stream that was
// good is replaced at once; one that never was waits, lest a broken feed be hammered.
func (s *stream) Closed() {
	if s.f.stream == s {
		s.f.Counters.Losses++
	}
	if s.spoke {
		s.f.retry(s, 0)
		return
	}
	s.f.retry(s, s.f.limits.FeedRetry)
}

// Data takes whole lines. A line that can't be used closes the stream, and the next one starts behind the
// last good event.
func (s *stream) Data(p []byte) error {
	for len(p) > 0 {
		if s.f.stream != s {
			return errors.New("feed stream given up")
		}
		i := bytes.IndexByte(p, '\n')
		if i < 0 {
			if len(s.line)+len(p) > s.f.limits.FeedLine {
				s.f.Counters.BadLines++
				return errors.New("feed line too long")
			}
			s.line = append(s.line, p...)
			return nil
		}
		line := p[:i]
		if len(s.line) > 0 {
			s.line = append(s.line, line...)
			line = s.line
		}
		p = p[i+1:]
		s.f.Counters.Lines++
		s.f.listen(s)
		if err := s.f.take(line, true); err != nil {
			s.f.Counters.BadLines++
			s.f.logf("feed: %v: reconnecting behind event %d", err, s.f.last)
			return err
		}
		s.line, s.spoke = s.line[:0], true
	}
	return nil
}

// line is an event, or with a number only the sign of life.
type line struct {
	N       *uint64  `json:"n"`
	Members *members `json:"members"`
	Purge   *purge   `json:"purge"`
}

type members struct {
	Index     uint64     `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []endpoint `json:"endpoints"`
}

type endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS int64   `json:"since_ms"`
}

type purge struct {
	Key   string `json:"key"`
	Group *int   `json:"group"`
	At    int64  `json:"at"`
}

// take reads one line and hands its event on. Events must come without a gap where they are counted (live);
// what is known already is passed over.
func (f *Follower) take(text []byte, live bool) error {
	if n, err := strconv.ParseUint(string(bytes.TrimSpace(text)), 10, 64); err == nil {
		return f.alive(n)
	}
	var l line
	if err := json.Unmarshal(text, &l); err != nil {
		return fmt.Errorf("line %.80q: %w", text, err)
	}
	switch {
	case l.N == nil:
		return fmt.Errorf("line %.80q has no number", text)
	case l.Members == nil && l.Purge == nil:
		return f.alive(*l.N)
	case *l.N <= f.last:
		return nil
	case live && *l.N != f.last+1:
		return fmt.Errorf("event %d after %d", *l.N, f.last)
	}
	if l.Members != nil {
		list, err := f.members(l.Members)
		if err != nil {
			return fmt.Errorf("event %d: %w", *l.N, err)
		}
		f.sink.Members(l.Members.Snapshot || f.last == 0, l.Members.Index, list)
	}
	if l.Purge != nil {
		if err := f.purge(l.Purge); err != nil {
			return fmt.Errorf("event %d: %w", *l.N, err)
		}
	}
	f.last = *l.N
	f.Counters.Events++
	return nil
}

// alive takes a line with only the last number.
func (f *Follower) alive(n uint64) error {
	if n > f.last {
		return fmt.Errorf("feed is at %d, but %d came last", n, f.last)
	}
	return nil
}

func (f *Follower) members(m *members) ([]director.Member, error) {
	if len(m.Endpoints) > f.limits.Members {
		return nil, fmt.Errorf("%d members, %d at most", len(m.Endpoints), f.limits.Members)
	}
	list := make([]director.Member, 0, len(m.Endpoints))
	for i, e := range m.Endpoints {
		d := director.Member{Name: e.Name, Address: e.Address}
		d.Weight, d.Cell, d.Started = e.Weight, e.Group, time.Duration(e.SinceMS)*time.Millisecond
		switch e.Status {
		case "ready":
			d.State = rules.Ready
		case "draining":
			d.State = rules.Draining
		case "gone":
			d.State = rules.Gone
		default:
			return nil, fmt.Errorf("endpoints[%d].status: %.40q", i, e.Status)
		}
		if e.Name == "" || len(e.Name) > 64 || bytes.ContainsAny([]byte(e.Name), ",=\r\n ") {
			return nil, fmt.Errorf("endpoints[%d].name: %.40q", i, e.Name)
		}
		if _, err := netip.ParseAddrPort(e.Address); err != nil && d.State != rules.Gone {
			return nil, fmt.Errorf("endpoints[%d].address: %.40q", i, e.Address)
		}
		var zone, kind bool
		d.Zone, zone = f.zones[e.Zone]
		d.Kind, kind = f.kinds[e.Type]
		if d.State != rules.Gone && (!zone || !kind) {
			f.Counters.SkippedEntries++ // of a place or kind that the settings do not know: nothing goes there
			continue
		}
		list = append(list, d)
	}
	return list, nil
}

func (f *Follower) purge(p *purge) error {
	made := time.Duration(p.At) * time.Millisecond
	if p.Key == "" && p.Group != nil {
		f.sink.Purge(0, *p.Group, made)
		return nil
	}
	object, err := strconv.ParseUint(p.Key, 16, 64)
	if err != nil {
		return fmt.Errorf("purge.key: %.40q", p.Key)
	}
	group := 0
	if p.Group != nil {
		group = *p.Group
	}
	f.sink.Purge(object, group, made)
	return nil
}
