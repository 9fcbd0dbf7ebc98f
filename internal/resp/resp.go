// Package resp implements the codec of the cache protocol, whose messages are arrays of bulk strings in RESP, the Redis
// serialization protocol (https://redis.io/docs/latest/develop/reference/protocol-spec/). It supports no other RESP
// types.
//
// A request is an array of any number of bulk strings and is built with the Append functions. A response is an array of
// two to four bulk strings: ID, STATUS, FIELDS and BODY. A Parser reads responses from a stream that arrives in chunks
// of any size.
//
// A Parser is not safe for concurrent use.
package resp

import "strconv"

const crlf = "\r\n"

// First bytes of a header, which identify the type of the element that follows.
const (
	arrayPrefix = '*'
	bulkPrefix  = '$'
)

// AppendArrayHeader appends the header of an array with the given number of elements to dst.
func AppendArrayHeader(dst []byte, elements int) []byte {
	return appendHeader(dst, arrayPrefix, elements)
}

// AppendBulkHeader appends the header of a bulk string of length bytes to dst. The caller must append the string's
// bytes and a CRLF.
func AppendBulkHeader(dst []byte, length int) []byte {
	return appendHeader(dst, bulkPrefix, length)
}

// AppendBulkString appends a complete bulk string to dst: header, text and CRLF.
func AppendBulkString(dst []byte, text string) []byte {
	dst = AppendBulkHeader(dst, len(text))
	dst = append(dst, text...)
	return append(dst, crlf...)
}

func appendHeader(dst []byte, prefix byte, number int) []byte {
	dst = append(dst, prefix)
	dst = strconv.AppendInt(dst, int64(number), 10)
	return append(dst, crlf...)
}
