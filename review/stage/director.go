package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// stage is a small deployment: a director, its servers and its control feed.
type stage struct {
	root, folder     string
	rec              *record
	feed             *feed
	caches           []*server
	origin           *server
	listen, operator string
	memoryMB         int
	sockets          int
	process          *exec.Cmd
	exited           chan error
}

// freeAddress returns a loopback address with a free port.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// build starts the stand-ins: three caches, a parent and the origin.
func (s *stage) build() error {
	var err error
	if s.feed, err = startFeed(s.rec); err != nil {
		return err
	}
	var list []string
	add := func(name, zone, kind string, delay time.Duration) (*server, error) {
		added, err := startServer(s.rec, name, delay)
		if err == nil {
			list = append(list, fmt.Sprintf(`{"name":%q,"address":%q,"zone":%q,"type":%q,"group":0,`+
				`"status":"ready","weight":40,"since_ms":0}`, name, added.address(), zone, kind))
		}
		return added, err
	}
	for i := range 3 {
		cache, err := add(fmt.Sprintf("s-cache%d", i+1), "branch", "small", 30*time.Millisecond)
		if err != nil {
			return err
		}
		s.caches = append(s.caches, cache)
	}
	if _, err = add("s-parent", "hub", "parent", 30*time.Millisecond); err != nil {
		return err
	}
	if s.origin, err = add("s-origin", "hub", "origin", 30*time.Millisecond); err != nil {
		return err
	}
	s.feed.add(fmt.Sprintf(`"members":{"index":1,"snapshot":true,"endpoints":[%s]}`, strings.Join(list, ",")))
	if s.listen, err = freeAddress(); err != nil {
		return err
	}
	s.operator, err = freeAddress()
	return err
}

const settings = `{"balancers":1,"me":0,"zone":1,"dcs":["hub","branch"],"kinds":["small","parent","origin"],
"quantum":2000000,"registryMode":"automatic","weights":"rough","countedBy":"request",
"report":{"fields":["active","cpu","x1","x0"],"via":"inline"},
"services":[
{"name":"media","aim":400000000,"aimStretch":1.6,"deadline":5000000000,"worth":2,"lateWorth":0.15,
 "effect":"read_like","group":"all","dedupWindow":5000000000,"streaming":false},
{"name":"pages","aim":250000000,"aimStretch":2,"deadline":2500000000,"worth":1,"lateWorth":0.2,
 "effect":"read_like","group":"all","dedupWindow":5000000000,"streaming":false},
{"name":"repayment","aim":700000000,"deadline":3000000000,"worth":3,"lateWorth":0,
 "effect":"non_idempotent","group":"all","dedupWindow":5000000000,"streaming":false}],
"ceilings":{"cancel":true,"connectTimeout":400000000,"keepalive":15000000000,"maxAttempts":6,
 "maxRetryAfter":500000000,"openCap":20000,"peerMessages":false,"probes":false,"retryAfter":true,
 "secondCopies":true,"streamsPerConn":100},
"guarantees":{"askWithin":10000000000,"cold":14000000000,"coldFrom":0.26,"drainGrace":2000000000,
 "fall":3000000000,"graceToAnswer":8000000,"tipMultiple":2},
"familyInfo":{"bypassAllowed":false,"classFresh":[0,8000000000,0],"staleFor":[0,20000000000,0],
 "staleEarns":[0.7,0.5,0.7],"passOn":[false,false,true],"flowKbPerS":6400,"mergesFills":false,"masterKind":2,
 "secondTierKind":1,"parentColdFrom":0.068,"parentFallMultiple":2,"parentRamp":21000000000,
 "purgeSlack":500000000,"purgeTakes":6000000000,"lateral":"any","notesGiven":"all","seatsByZone":[0,1],
 "hubByZone":[0,0]}}`

var runLine = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// start starts the director with the command of the deploy file and waits until it is ready.
func (s *stage) start() error {
	deploy, err := os.ReadFile(filepath.Join(s.root, "deploy", "balancer.toml"))
	if err != nil {
		return err
	}
	run := runLine.FindSubmatch(deploy)
	if run == nil {
		return os.ErrInvalid
	}
	text := fmt.Sprintf(`{"name":"n1","listen":%q,"operator":%q,"seed":"8c1f30d27a5be964",`+
		`"limits":{"cores":1.0,"memory_mb":%d,"sockets":%d},"feed":%q,"flow_bytes_per_s":310000,`+
		`"link_bytes_per_s":1240000,"known":{"n":1,"events":[%s]},"settings":%s}`,
		s.listen, s.operator, s.memoryMB, s.sockets, s.feed.address, s.feed.events[0], settings)
	path := filepath.Join(s.folder, "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(s.folder, "director.log"))
	if err != nil {
		return err
	}
	s.process = exec.Command("/bin/sh", "-c", string(run[1]))
	s.process.Dir = s.root
	s.process.Env = append(os.Environ(), "EDGE_NAME=n1", "EDGE_LISTEN="+s.listen, "EDGE_CONFIG="+path,
		"EDGE_OPERATOR="+s.operator, "TMPDIR="+s.folder)
	s.process.Stdout, s.process.Stderr = log, log
	s.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := s.process.Start(); err != nil {
		return err
	}
	s.exited = make(chan error, 1)
	go func() {
		err := s.process.Wait()
		s.rec.log("director ended: %v", err)
		s.exited <- err
	}()
	for range 100 {
		if status, err := s.call(http.MethodGet, "/healthcheck"); err == nil && status == http.StatusOK {
			s.rec.log("director is ready, pid %d", s.process.Process.Pid)
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errNotReady
}

// call makes an operators' call and returns the status.
func (s *stage) call(method, path string) (int, error) {
	request, err := http.NewRequest(method, "http://"+s.operator+path, nil)
	if err != nil {
		return 0, err
	}
	request.Close = true
	caller := http.Client{Timeout: time.Second}
	response, err := caller.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	return response.StatusCode, nil
}

// end ends the director.
func (s *stage) end() {
	if s.process == nil || s.process.Process == nil {
		return
	}
	_ = s.process.Process.Kill()
	select {
	case <-s.exited:
	case <-time.After(2 * time.Second):
	}
}

// warmUp sends small requests one after another on a few connections, as in a quiet time, until the director's
// limits for the time after a start are gone.
func (s *stage) warmUp() error {
	ends := make(chan error, 8)
	for i := range cap(ends) {
		go func() {
			c, err := dialClient(s.rec, fmt.Sprintf("warm%d", i+1), s.listen, 0)
			if err != nil {
				ends <- err
				return
			}
			defer c.conn.Close()
			for range 30 {
				if err := c.submit("media", objectOf(2000), 5*time.Second, nil); err != nil {
					ends <- err
					return
				}
				c.waitAll(5 * time.Second)
			}
			ends <- nil
		}()
	}
	for range cap(ends) {
		if err := <-ends; err != nil {
			return err
		}
	}
	return nil
}

// logMemory records how much memory the director has held at most.
func (s *stage) logMemory() {
	if s.process == nil {
		return
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.process.Process.Pid))
	if err != nil {
		return
	}
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "VmHWM") {
			s.rec.say("director's memory at most: %s", strings.TrimSpace(strings.TrimPrefix(line, "VmHWM:")))
		}
	}
}
