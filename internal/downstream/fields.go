package downstream

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"shaleyard/internal/director"
)

// Keys of a request's field map.
const (
	fieldService        = "service"
	fieldRef            = "ref"
	fieldTimeout        = "allow" // milliseconds
	fieldObject         = "lookup"
	fieldPart           = "chunk"
	fieldGroup          = "tag"
	fieldSize           = "room" // KB
	fieldIfNoneMatch    = "known"
	fieldIdempotencyKey = "replay"
)

// knownFields holds the keys of a request's field map that have a meaning. Other fields are ignored.
var knownFields = map[string]bool{
	fieldService: true, fieldRef: true, fieldTimeout: true, fieldObject: true, fieldPart: true, fieldGroup: true,
	fieldSize: true, fieldIfNoneMatch: true, fieldIdempotencyKey: true,
}

// Bounds of field values.
const (
	maxGroup       = 255
	maxSizeKB      = 1e9
	maxTokenLength = 128 // bytes
	hexIDLength    = 16  // hex digits
)

// fieldError reports that a field of a request is invalid. Its text is sent to the client.
type fieldError struct{ field, problem string }

// Error implements error.
func (e *fieldError) Error() string { return e.field + ": " + e.problem }

// invalidField returns a fieldError that quotes at most 40 characters of the value before the problem.
func invalidField(field, value, problem string) error {
	return &fieldError{field: field, problem: fmt.Sprintf("%.40q %s", value, problem)}
}

// parseRequest validates the arguments of a submit and sets the fields of request from them, except its body. The error
// is a fieldError.
func (s *Server) parseRequest(args submitArgs, request *director.Request) error {
	if err := s.parseNames(args.fields, request); err != nil {
		return err
	}
	if err := s.parseNumbers(args.fields, request); err != nil {
		return err
	}
	if err := checkUnknownFields(args.fields); err != nil {
		return err
	}
	if len(args.body) > s.limits.MaxRequestBodyBytes {
		problem := fmt.Sprintf("%d bytes, %d at most", len(args.body), s.limits.MaxRequestBodyBytes)
		return &fieldError{field: "body", problem: problem}
	}
	return nil
}

// checkUnknownFields returns an error if a field without a meaning is no text. Binary content shows that the length of
// the field is wrong and covers a part of the message behind it.
func checkUnknownFields(fields map[string]string) error {
	for field, value := range fields {
		if !knownFields[field] && (!isText(field) || !isText(value)) {
			return invalidField("fields", field, "is no text, or its value is none")
		}
	}
	return nil
}

// isText reports whether text is UTF-8 without control characters.
func isText(text string) bool {
	return utf8.ValidString(text) && strings.IndexFunc(text, unicode.IsControl) < 0
}

// parseNames validates the fields that hold names, identifiers and tokens, and sets them in request.
func (s *Server) parseNames(fields map[string]string, request *director.Request) error {
	request.Service = fields[fieldService]
	request.Ref = fields[fieldRef]
	request.Object = fields[fieldObject]
	request.IfNoneMatch = fields[fieldIfNoneMatch]
	request.IdempotencyKey = fields[fieldIdempotencyKey]

	class, known := s.classIndexes[request.Service]
	if !known {
		return invalidField(fieldService, request.Service, "is none of ours")
	}
	request.Class = class
	if !isHexID(request.Ref) {
		return invalidField(fieldRef, request.Ref, "is not 16 hex digits")
	}
	if !isHexID(request.Object) {
		return invalidField(fieldObject, request.Object, "is not 16 hex digits")
	}
	request.ObjectKey, _ = strconv.ParseUint(request.Object, 16, 64) // isHexID has checked the digits
	if request.IfNoneMatch != "" && !isToken(request.IfNoneMatch) {
		return invalidField(fieldIfNoneMatch, request.IfNoneMatch, "is no tag")
	}
	if request.IdempotencyKey != "" && !isToken(request.IdempotencyKey) {
		return invalidField(fieldIdempotencyKey, request.IdempotencyKey, "is no idempotency key")
	}
	return nil
}

// parseNumbers validates the fields that hold numbers, and sets them in request. Only the timeout is required; the
// other numbers are 0 by default.
func (s *Server) parseNumbers(fields map[string]string, request *director.Request) error {
	maxTimeout := int(s.limits.MaxRequestTimeout / time.Millisecond)
	timeout, err := parseNumber(fieldTimeout, fields[fieldTimeout], 1, maxTimeout)
	if err != nil {
		return err
	}
	request.Timeout = time.Duration(timeout) * time.Millisecond

	request.Part = fields[fieldPart]
	if request.Part == "" {
		request.Part = "0"
	}
	request.PartNumber, err = parseNumber(fieldPart, request.Part, 0, math.MaxInt32)
	if err != nil {
		return err
	}
	if group := fields[fieldGroup]; group != "" {
		request.Group, err = parseNumber(fieldGroup, group, 0, maxGroup)
		if err != nil {
			return err
		}
	}
	if size := fields[fieldSize]; size != "" {
		request.SizeKB, err = parseSize(size)
	}
	return err
}

// parseSize parses a size in KB, which must be from 0 to maxSizeKB.
func parseSize(value string) (float64, error) {
	size, err := strconv.ParseFloat(value, 64)
	inRange := size >= 0 && size <= maxSizeKB // false for NaN
	if err != nil || !inRange {
		return 0, invalidField(fieldSize, value, "is no size")
	}
	return size, nil
}

// parseNumber parses a decimal number from minimum to maximum. It rejects a plus sign and leading zeros, because the
// text of a part number is forwarded to caches, which may not accept other forms.
func parseNumber(field, value string, minimum, maximum int) (int, error) {
	number, err := strconv.Atoi(value)
	if err != nil || number < minimum || number > maximum || strconv.Itoa(number) != value {
		return 0, invalidField(field, value, fmt.Sprintf("is not a number from %d to %d", minimum, maximum))
	}
	return number, nil
}

// isHexID reports whether text is an identifier: 16 hex digits, in upper or lower case.
func isHexID(text string) bool {
	if len(text) != hexIDLength {
		return false
	}
	for i := range len(text) {
		if !isHexDigit(text[i]) {
			return false
		}
	}
	return true
}

func isHexDigit(char byte) bool {
	return '0' <= char && char <= '9' || 'a' <= char && char <= 'f' || 'A' <= char && char <= 'F'
}

// isToken reports whether text can be forwarded as a value in the list of fields of a cache request: at most 128
// printable ASCII characters, without the separators of the list (space, comma and equals sign).
func isToken(text string) bool {
	if len(text) > maxTokenLength {
		return false
	}
	for i := range len(text) {
		char := text[i]
		if char <= ' ' || char >= 0x7f || char == ',' || char == '=' {
			return false
		}
	}
	return true
}
