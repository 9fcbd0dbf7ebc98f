// Command toy is what a newcomer needs around one shaleyard: a cache, an origin and a control feed on the
// addresses of examples/config.json, and with -get or -pay a client that sends one request and prints the
// answer. It keeps what it has served in memory and has none of a real cache's cares.
package main

import (
	"bufio"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"flag"
	"fmt"
	"io"
	"log"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

func main() {
	cache := flag.String("cache", "127.0.0.1:8081", "address of the cache")
	origin := flag.String("origin", "127.0.0.1:8082", "address of the origin")
	feed := flag.String("feed", "127.0.0.1:2379", "address of the control feed")
	director := flag.String("director", "127.0.0.1:8080", "address of the director, for -get and -pay")
	get := flag.String("get", "", "ask the director for this object (16 hex digits) and end")
	pay := flag.String("pay", "", "send the director this repayment and end")
	flag.Parse()
	if *get != "" || *pay != "" {
		if err := sendRequest(*director, *get, *pay); err != nil {
			log.Fatal("toy: ", err)
		}
		return
	}
	ended := make(chan error)
	for _, s := range []struct {
		name, address string
		serve         func(net.Conn) error
	}{
		{"cache", *cache, (&store{name: "cache", cached: map[string]bool{}}).serve},
		{"origin", *origin, (&store{name: "origin", isOrigin: true}).serve},
		{"feed", *feed, serveFeed},
	} {
		l, err := net.Listen("tcp", s.address)
		if err != nil {
			log.Fatal("toy: ", err)
		}
		log.Printf("%s on %s", s.name, l.Addr())
		go func() { ended <- accept(l, s.name, s.serve) }()
	}
	log.Fatal("toy: ", <-ended)
}

func accept(l net.Listener, name string, serve func(net.Conn) error) error {
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		go func() {
			defer c.Close()
			if err := serve(c); err != nil && err != io.EOF {
				log.Printf("%s: %v", name, err)
			}
		}()
	}
}

// serveFeed is the control feed: nothing happens, which it says every second.
func serveFeed(c net.Conn) error {
	line, err := bufio.NewReader(c).ReadString('\n')
	if err != nil {
		return err
	}
	n, err := strconv.Atoi(strings.TrimSpace(strings.TrimPrefix(line, "SUB ")))
	if err != nil {
		return fmt.Errorf("%q is no subscription", line)
	}
	for {
		if _, err := fmt.Fprintf(c, "{\"n\":%d}\n", n); err != nil {
			return err
		}
		time.Sleep(time.Second)
	}
}

// store is a cache or, where it holds all, the origin.
type store struct {
	name     string
	isOrigin bool
	mu       sync.Mutex
	cached   map[string]bool
}

// lookUp tells how an object was got, and holds it from now on where it is to be kept.
func (s *store) lookUp(fields map[string]string) (word, note string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := fields["asset"] + "/" + fields["slice"]
	switch {
	case s.isOrigin || s.cached[key]:
		return "OK", "HIT"
	case fields["up"] == "":
		return "MISS", ""
	}
	if fields["sort"] != "repayment" && fields["store"] != "" && fields["store"] != "0" {
		s.cached[key] = true
	}
	return "OK", "MISS_ORIGIN"
}

func (s *store) serve(c net.Conn) error {
	r := bufio.NewReader(c)
	for {
		words, err := readCommand(r)
		if err != nil {
			return err
		}
		if words[0] != "REQ" || len(words) != 4 {
			continue // a STOP comes too late here: answers leave at once
		}
		fields := map[string]string{}
		for f := range strings.SplitSeq(words[2], ",") {
			name, value, _ := strings.Cut(f, "=")
			fields[name] = value
		}
		word, note := s.lookUp(fields)
		log.Printf("%s: %s %s: %s %s", s.name, words[1], words[2], word, note)
		body, answer := "", "-"
		if word == "OK" {
			body = fmt.Sprintf("object %s, part %s, %d bytes sent\n", fields["asset"], fields["slice"], len(words[3]))
			answer = fmt.Sprintf("rev=1,since=%d,n=%s", time.Now().UnixMilli(), note)
		}
		if _, err := c.Write(encodeArray(words[1], word, answer, body)); err != nil {
			return err
		}
	}
}

func encodeArray(words ...string) []byte {
	b := fmt.Appendf(nil, "*%d\r\n", len(words))
	for _, w := range words {
		b = fmt.Appendf(b, "$%d\r\n%s\r\n", len(w), w)
	}
	return b
}

func readCommand(r *bufio.Reader) ([]string, error) {
	number := func(mark string) (int, error) {
		line, err := r.ReadString('\n')
		if err != nil {
			return 0, err
		}
		n, err := strconv.Atoi(strings.TrimSpace(strings.TrimPrefix(line, mark)))
		if err != nil || n < 0 || n > 1<<20 {
			return 0, fmt.Errorf("%q is no length", line)
		}
		return n, nil
	}
	n, err := number("*")
	if err != nil || n == 0 {
		return nil, fmt.Errorf("no command: %w", err)
	}
	words := make([]string, n)
	for i := range words {
		size, err := number("$")
		if err != nil {
			return nil, err
		}
		b := make([]byte, size+2)
		if _, err := io.ReadFull(r, b); err != nil {
			return nil, err
		}
		words[i] = string(b[:size])
	}
	return words, nil
}

// sendRequest sends one request and prints how it was answered.
func sendRequest(director, object, payment string) error {
	c, err := net.Dial("tcp", director)
	if err != nil {
		return err
	}
	defer c.Close()
	ref := make([]byte, 8)
	if _, err := rand.Read(ref); err != nil {
		return err
	}
	fields := []string{"ref", hex.EncodeToString(ref), "service", "media", "allow", "5000", "lookup", object,
		"chunk", "0", "tag", "0", "room", "100"}
	if payment != "" {
		fields[3], fields[5], fields[7] = "repayment", "3000", "0000000000000001"
	}
	str := func(b []byte, s string) []byte { return append(binary.BigEndian.AppendUint32(b, uint32(len(s))), s...) }
	m := str([]byte{0x80, 1, 0, 1}, "submit")
	m = append(m, 0, 0, 0, 1, 13, 0, 1, 11, 11)
	m = binary.BigEndian.AppendUint32(m, uint32(len(fields)/2))
	for _, f := range fields {
		m = str(m, f)
	}
	m = append(str(append(m, 11, 0, 2), payment), 0)
	if _, err := c.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(m))), m...)); err != nil {
		return err
	}
	size := make([]byte, 4)
	if _, err := io.ReadFull(c, size); err != nil {
		return fmt.Errorf("no answer: %w", err)
	}
	answer := make([]byte, binary.BigEndian.Uint32(size))
	if _, err := io.ReadFull(c, answer); err != nil {
		return fmt.Errorf("answer cut short: %w", err)
	}
	const result = 4 + 4 + len("submit") + 4 // behind version, name and number
	if len(answer) < result+10 {
		return fmt.Errorf("answer of %d bytes: %q", len(answer), answer)
	}
	switch kind, field := answer[3], answer[result+2]; {
	case kind == 3:
		return fmt.Errorf("application exception: %q", answer[result:])
	case field == 1:
		return fmt.Errorf("refused: trying again is harmless")
	case field == 2:
		return fmt.Errorf("failed")
	}
	body := answer[result+6:] // behind the heads of the result, of the Answer and of its body
	n := binary.BigEndian.Uint32(body)
	if int(n) > len(body)-4 {
		return fmt.Errorf("body of %d bytes in an answer of %d", n, len(answer))
	}
	fmt.Printf("served: %s", body[4:4+n])
	return nil
}
