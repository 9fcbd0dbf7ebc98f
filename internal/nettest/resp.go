package nettest

import (
	"fmt"
	"strconv"
	"strings"
)

// This file implements the protocol between the program and the caches: RESP, the Redis serialization protocol,
// limited to arrays of bulk strings.

const (
	respArrayPrefix = "*"
	respBulkPrefix  = "$"
	respLineEnd     = "\r\n"
)

// ReadCommand reads a RESP array of bulk strings and returns the strings.
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

// readLength reads the header line of an array or a bulk string and returns the length in the header. The
// argument what names the type in failure messages.
func (c *Conn) readLength(what, prefix string) int {
	c.t.Helper()
	length, err := strconv.Atoi(strings.TrimPrefix(c.ReadLine(), prefix))
	if err != nil {
		c.t.Fatalf("invalid length of the RESP %s: %v", what, err)
	}
	return length
}

// WriteArray writes a RESP array of bulk strings.
func (c *Conn) WriteArray(elements ...string) {
	c.t.Helper()
	var array strings.Builder
	fmt.Fprintf(&array, "%s%d%s", respArrayPrefix, len(elements), respLineEnd)
	for _, element := range elements {
		fmt.Fprintf(&array, "%s%d%s%s%s", respBulkPrefix, len(element), respLineEnd, element, respLineEnd)
	}
	c.Send(array.String())
}
