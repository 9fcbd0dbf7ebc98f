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

// serveTCP listens on loopback and serves each connection on a goroutine of its own, until the test ends.
func serveTCP(t *testing.T, serve func(net.Conn)) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return listener.Addr().String()
}

// respondingCache answers the requests on a connection one after the other, each after a delay; it ignores
// cancellations.
func respondingCache(delay time.Duration, body string) func(net.Conn) {
	return func(conn net.Conn) {
		defer conn.Close()
		reader := bufio.NewReader(conn)
		for {
			words, err := readCommand(reader)
			if err != nil {
				return
			}
			if words[0] != "REQ" {
				continue
			}
			time.Sleep(delay)
			if _, err := io.WriteString(
				conn,
				respArray(words[1], "OK", "n=HIT,rev=t1,since=1764576000000", body),
			); err != nil {
				return
			}
		}
	}
}

// idleDiscoveryService is a list service without events: it sends a heartbeat each second.
func idleDiscoveryService(conn net.Conn) {
	defer conn.Close()
	if _, err := bufio.NewReader(conn).ReadString('\n'); err != nil {
		return
	}
	for {
		if _, err := io.WriteString(conn, "1\n"); err != nil {
			return
		}
		time.Sleep(time.Second)
	}
}

// readCommand reads a RESP array of bulk strings.
func readCommand(reader *bufio.Reader) ([]string, error) {
	count, err := readLength(reader, "*")
	if err != nil {
		return nil, err
	}
	words := make([]string, count)
	for i := range words {
		size, err := readLength(reader, "$")
		if err != nil {
			return nil, err
		}
		word := make([]byte, size+2)
		if _, err := io.ReadFull(reader, word); err != nil {
			return nil, err
		}
		words[i] = string(word[:size])
	}
	return words, nil
}

// readLength reads a line of a mark and a number.
func readLength(reader *bufio.Reader, mark string) (int, error) {
	line, err := reader.ReadString('\n')
	if err != nil {
		return 0, err
	}
	return strconv.Atoi(strings.TrimPrefix(strings.TrimSpace(line), mark))
}

// respArray is a RESP array of bulk strings.
func respArray(words ...string) string {
	var text strings.Builder
	fmt.Fprintf(&text, "*%d\r\n", len(words))
	for _, word := range words {
		fmt.Fprintf(&text, "$%d\r\n%s\r\n", len(word), word)
	}
	return text.String()
}
