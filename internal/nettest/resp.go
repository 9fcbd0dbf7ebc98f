package nettest

import (
	"fmt"
	"strconv"
	"strings"
)

// This file holds the cache side's protocol: RESP, the Redis serialization protocol, of which only arrays of
// bulk strings are used.

const (
	respArrayPrefix = "*"
	respBulkPrefix  = "$"
	respLineEnd     = "\r\n"
)

// ReadCommand reads a RESP array of bulk strings.
func (c *Conn) ReadCommand() []string {
	c.t.Helper()
	elements := make([]string, c.readLength("array", respArrayPrefix))
	for i := range elements {
		size := c.readLength("bulk string", respBulkPrefix)
		content := c.readBytes(size + len(respLineEnd))
		elements[i] = string(content[:size])
	}
	return elements
}

// readLength reads the line that begins an array or a bulk string and returns the length that it gives.
func (c *Conn) readLength(what, prefix string) int {
	c.t.Helper()
	length, err := strconv.Atoi(strings.TrimPrefix(c.ReadLine(), prefix))
	if err != nil {
		c.t.Fatalf("%s: %v", what, err)
	}
	return length
}

// WriteArray writes a RESP array of bulk strings.
func (c *Conn) WriteArray(elements ...string) {
	c.t.Helper()
	var array strings.Builder
	fmt.Fprintf(&array, "%s%d%s", respArrayPrefix, len(elements), respLineEnd)
	for _, word := range elements {
		fmt.Fprintf(&array, "%s%d%s%s%s", respBulkPrefix, len(word), respLineEnd, word, respLineEnd)
	}
	c.Send(array.String())
}
