package main

import (
	"bufio"
	"fmt"
	"log"
	"net"
	"strings"
	"sync"
	"time"
)

// Words that say how a request ended, and how the object was found where it was served.
const (
	resultOK   = "OK"
	resultMiss = "MISS"

	statusHit    = "HIT"
	statusFilled = "MISS_ORIGIN"
)

// objectServer answers the director's requests for objects, as a cache or as the origin. Objects have no content
// of their own: an answer's body describes the request.
type objectServer struct {
	name     string // as log lines name it
	isOrigin bool   // it has all objects

	mu     sync.Mutex
	cached map[string]bool // the parts of objects that a cache has, as "object/part"
}

func newCache() *objectServer { return &objectServer{name: "cache", cached: map[string]bool{}} }

func newOrigin() *objectServer { return &objectServer{name: "origin", isOrigin: true} }

// serve answers the commands of a connection in their order, until it ends.
func (s *objectServer) serve(conn net.Conn) error {
	reader := bufio.NewReader(conn)
	for {
		command, err := readCommand(reader)
		if err != nil {
			return err
		}
		if command[0] != "REQ" || len(command) != 4 {
			continue // a STOP, which cancels a request, comes too late: each is answered at once
		}
		answer := s.answer(command[1], command[2], command[3])
		if _, err := conn.Write(answer); err != nil {
			return err
		}
	}
}

// answer returns the encoded answer to a request: its id, result, fields and body.
func (s *objectServer) answer(id, requestFields, requestBody string) []byte {
	fields := parseFields(requestFields)
	result, status := s.lookUp(fields)
	log.Printf("%s: %s %s: %s %s", s.name, id, requestFields, result, status)
	if result != resultOK {
		return encodeArray(id, result, "-", "")
	}
	answerFields := fmt.Sprintf("rev=1,since=%d,n=%s", time.Now().UnixMilli(), status)
	body := fmt.Sprintf("object %s, part %s, %d bytes sent\n", fields["asset"], fields["slice"], len(requestBody))
	return encodeArray(id, result, answerFields, body)
}

// parseFields parses request fields of the form "name=value,name=value".
func parseFields(text string) map[string]string {
	fields := map[string]string{}
	for field := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(field, "=")
		fields[name] = value
	}
	return fields
}

// lookUp returns the result of a request and, where it is served, how the object was found. A cache that lacks
// the object serves it only if the request names an upstream to fill it from, and caches it if the request asks
// for that. The fill itself is not played: no connection is made to the upstream.
func (s *objectServer) lookUp(fields map[string]string) (result, status string) {
	if s.isOrigin {
		return resultOK, statusHit
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	key := fields["asset"] + "/" + fields["slice"]
	if s.cached[key] {
		return resultOK, statusHit
	}
	if fields["up"] == "" {
		return resultMiss, ""
	}
	if isCacheable(fields) {
		s.cached[key] = true
	}
	return resultOK, statusFilled
}

// isCacheable reports whether the answer to a request is to be cached: a repayment's never is, others' are where
// the request gives them a retention rank over 0.
func isCacheable(fields map[string]string) bool {
	rank := fields["store"]
	return fields["sort"] != "repayment" && rank != "" && rank != "0"
}
