package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

// heartbeatInterval is the time between two heartbeats of the discovery service.
const heartbeatInterval = time.Second

// serveEndpointList serves a watcher's connection to the discovery service. The watcher subscribes with the revision of
// the endpoint list that it has. The toy's endpoint list never changes, so the service only sends this revision as a
// heartbeat, until the watcher closes the connection and a write fails.
func serveEndpointList(conn net.Conn) error {
	line, err := bufio.NewReader(conn).ReadString('\n')
	if errors.Is(err, io.EOF) {
		return nil // the watcher closed the connection before it subscribed
	}
	if err != nil {
		return err
	}
	revision, err := parseSubscription(line)
	if err != nil {
		return err
	}
	for {
		if _, err := fmt.Fprintf(conn, "{\"n\":%d}\n", revision); err != nil {
			return err
		}
		time.Sleep(heartbeatInterval)
	}
}

// parseSubscription returns the revision in a line of the form "SUB 1".
func parseSubscription(line string) (int, error) {
	digits := strings.TrimSpace(strings.TrimPrefix(line, "SUB "))
	revision, err := strconv.Atoi(digits)
	if err != nil {
		return 0, fmt.Errorf("invalid subscription %q, want \"SUB REVISION\"", line)
	}
	return revision, nil
}
