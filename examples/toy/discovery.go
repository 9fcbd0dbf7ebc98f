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

// heartbeatInterval is the time between two messages of the discovery service.
const heartbeatInterval = time.Second

// serveEndpointList is the discovery service. A watcher subscribes with the revision of the endpoint list that it
// has; as the list never changes here, the service only repeats this revision as a heartbeat, until the
// connection ends and a write fails.
func serveEndpointList(conn net.Conn) error {
	line, err := bufio.NewReader(conn).ReadString('\n')
	if errors.Is(err, io.EOF) {
		return nil // the watcher has left without a subscription
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
		return 0, fmt.Errorf("%q is not a subscription", line)
	}
	return revision, nil
}
