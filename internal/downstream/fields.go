package downstream

import (
	"fmt"
	"math"
	"strconv"
	"time"

	"shaleyard/internal/director"
)

// The names of a request's fields.
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

// Bounds of fields.
const (
	maxGroup       = 255
	maxSizeKB      = 1e9
	maxTokenLength = 128
	idLength       = 16 // hex digits
)

// fieldError reports that a field of a request is invalid. Its text is sent to the client.
type fieldError struct{ field, problem string }

// Error implements error.
func (e *fieldError) Error() string { return e.field + ": " + e.problem }

// invalidField is a fieldError that quotes the value, shortened.
func invalidField(field, value, problem string) error {
	return &fieldError{field: field, problem: fmt.Sprintf("%.40q %s", value, problem)}
}

// parseRequest checks the fields of a request and fills it in, but for its body.
func (s *Server) parseRequest(args submitArgs, request *director.Request) error {
	if err := s.parseNames(args.fields, request); err != nil {
		return err
	}
	if err := s.parseNumbers(args.fields, request); err != nil {
		return err
	}
	if len(args.body) > s.limits.MaxRequestBodyBytes {
		problem := fmt.Sprintf("%d bytes, %d at most", len(args.body), s.limits.MaxRequestBodyBytes)
		return &fieldError{field: "body", problem: problem}
	}
	return nil
}

// parseNames reads the fields that name things.
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
	request.ObjectKey, _ = strconv.ParseUint(request.Object, 16, 64) // it was checked above
	if request.IfNoneMatch != "" && !isToken(request.IfNoneMatch) {
		return invalidField(fieldIfNoneMatch, request.IfNoneMatch, "is no tag")
	}
	if request.IdempotencyKey != "" && !isToken(request.IdempotencyKey) {
		return invalidField(fieldIdempotencyKey, request.IdempotencyKey, "is no idempotency key")
	}
	return nil
}

// parseNumbers reads the fields that hold numbers. All but the timeout may be missing.
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

// parseSize reads a size in KB.
func parseSize(value string) (float64, error) {
	size, err := strconv.ParseFloat(value, 64)
	inRange := size >= 0 && size <= maxSizeKB // false for NaN
	if err != nil || !inRange {
		return 0, invalidField(fieldSize, value, "is no size")
	}
	return size, nil
}

// parseNumber reads a number in its one plain form: the text is passed on to caches, which may know no other.
func parseNumber(field, value string, least, most int) (int, error) {
	number, err := strconv.Atoi(value)
	if err != nil || number < least || number > most || strconv.Itoa(number) != value {
		return 0, invalidField(field, value, fmt.Sprintf("is not a number from %d to %d", least, most))
	}
	return number, nil
}

// isHexID reports whether text is an identifier of 16 hex digits.
func isHexID(text string) bool {
	if len(text) != idLength {
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

// isToken reports whether text can be passed on in the list of fields towards caches: it must bring no separators into
// it.
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
