package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"
)

// serveTCP is a listener on loopback that serves each connection by itself until the test ends.
func serveTCP(t *testing.T, serve func(net.Conn)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().String()
}

// respondingCache serves every request with a body after a moment, and forgets what it is told to stop.
func respondingCache(after time.Duration, body string) func(net.Conn) {
	return func(c net.Conn) {
		defer c.Close()
		from := bufio.NewReader(c)
		for {
			words, err := readCommand(from)
			if err != nil {
				return
			}
			if words[0] != "REQ" {
				continue
			}
			time.Sleep(after)
			if _, err := io.WriteString(c, respArray(words[1], "OK", "n=HIT,rev=t1,since=1764576000000", body)); err != nil {
				return
			}
		}
	}
}

// idleDiscoveryService has no news, and gives a sign of life each second.
func idleDiscoveryService(c net.Conn) {
	defer c.Close()
	if _, err := bufio.NewReader(c).ReadString('\n'); err != nil {
		return
	}
	for {
		if _, err := io.WriteString(c, "1\n"); err != nil {
			return
		}
		time.Sleep(time.Second)
	}
}

// readCommand reads a RESP array of bulk strings.
func readCommand(from *bufio.Reader) ([]string, error) {
	n, err := readLength(from, "*")
	if err != nil {
		return nil, err
	}
	words := make([]string, n)
	for i := range words {
		size, err := readLength(from, "$")
		if err != nil {
			return nil, err
		}
		word := make([]byte, size+2)
		if _, err := io.ReadFull(from, word); err != nil {
			return nil, err
		}
		words[i] = string(word[:size])
	}
	return words, nil
}

func readLength(from *bufio.Reader, mark string) (int, error) {
	line, err := from.ReadString('\n')
	if err != nil {
		return 0, err
	}
	return strconv.Atoi(strings.TrimPrefix(strings.TrimSpace(line), mark))
}

// respArray is a RESP array of bulk strings.
func respArray(words ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(words))
	for _, w := range words {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(w), w)
	}
	return b.String()
}
