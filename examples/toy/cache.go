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

// Results of a request, and statuses that say where the cache or the origin found a served object.
const (
	resultOK   = "OK"
	resultMiss = "MISS"

	statusHit    = "HIT"         // served from the cache, or by the origin itself
	statusFilled = "MISS_ORIGIN" // filled from the origin
)

// objectServer is a cache or the origin. It answers the director's requests for objects. Objects have no content: the
// body of an answer describes the request.
type objectServer struct {
	name     string // in log lines
	isOrigin bool   // the origin has all objects and caches nothing

	mu     sync.Mutex
	cached map[string]bool // parts of objects in the cache, with keys of the form "object/part"
}

// newCache returns an empty cache.
func newCache() *objectServer { return &objectServer{name: "cache", cached: map[string]bool{}} }

// newOrigin returns an origin, which has all objects.
func newOrigin() *objectServer { return &objectServer{name: "origin", isOrigin: true} }

// serve answers the requests on a connection in order, until reading or writing fails. It returns the error, which
// wraps io.EOF when the director closes the connection. Commands other than requests are ignored.
func (s *objectServer) serve(conn net.Conn) error {
	reader := bufio.NewReader(conn)
	for {
		command, err := readCommand(reader)
		if err != nil {
			return err
		}
		if command[0] != "REQ" || len(command) != 4 {
			continue // a STOP, which cancels a request, always arrives after the answer
		}
		answer := s.answer(command[1], command[2], command[3])
		if _, err := conn.Write(answer); err != nil {
			return err
		}
	}
}

// answer handles a request, logs it and returns the encoded answer: the request's id, its result, fields and a body.
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

// lookUp returns the result of a request and the status of a served object; the status of a miss is empty. A cache
// without the object serves it only if the request names an upstream to fill it from, and then caches it if the request
// asks for it to be cached. The fill is not carried out: the cache does not connect to the upstream.
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

// isCacheable reports whether the answer to a request is to be cached. The answer to a repayment never is; any other
// answer is cached if the request gives it a retention rank above 0.
func isCacheable(fields map[string]string) bool {
	rank := fields["store"]
	return fields["sort"] != "repayment" && rank != "" && rank != "0"
}
