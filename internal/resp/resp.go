// Package resp is the codec of the cache protocol: arrays of bulk strings in the form of RESP, the Redis serialization
// protocol (https://redis.io/docs/latest/develop/reference/protocol-spec/). Of RESP it knows no other type.
//
// A request is an array of any number of bulk strings, built with the Append functions. A response is an array of two
// to four: ID, STATUS, FIELDS and BODY, read by a Parser, which takes a stream in whatever pieces it arrives.
//
// A Parser is not safe for concurrent use.
package resp

import "strconv"

const lineEnd = "\r\n"

// The first bytes of headers tell the type of what follows.
const (
	arrayMark = '*'
	bulkMark  = '$'
)

// AppendArrayHeader appends the header of an array with a number of elements.
func AppendArrayHeader(dst []byte, elements int) []byte {
	return appendHeader(dst, arrayMark, elements)
}

// AppendBulkHeader appends the header of a bulk string. The string's bytes, and a line end, must follow.
func AppendBulkHeader(dst []byte, length int) []byte {
	return appendHeader(dst, bulkMark, length)
}

// AppendBulkString appends a whole bulk string.
func AppendBulkString(dst []byte, text string) []byte {
	dst = AppendBulkHeader(dst, len(text))
	dst = append(dst, text...)
	return append(dst, lineEnd...)
}

func appendHeader(dst []byte, mark byte, number int) []byte {
	dst = append(dst, mark)
	dst = strconv.AppendInt(dst, int64(number), 10)
	return append(dst, lineEnd...)
}
