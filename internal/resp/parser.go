package resp

import (
	"errors"
	"fmt"
	"strconv"

	"shaleyard/internal/buffer"
)

// Bounds that every response keeps. The bounds of the fields and of the body are a matter of configuration (Limits).
const (
	minElements    = 2 // ID and STATUS
	maxElements    = 4 // ID, STATUS, FIELDS and BODY
	maxHeaderBytes = 32
	maxIDBytes     = 64
	maxStatusBytes = 16
)

// Positions of the elements in the array of a response.
const (
	idElement = iota
	statusElement
	fieldsElement
	bodyElement
)

var (
	// ErrMalformed reports bytes that can't be a part of a response.
	ErrMalformed = errors.New("malformed response")
	// ErrTooLarge reports a response with more elements, or a longer element, than the bounds allow.
	ErrTooLarge = errors.New("response too large")
)

// Limits bound the elements of a response whose size depends on the configuration, in bytes.
type Limits struct {
	Fields int
	Body   int
}

// Response is one response. Elements that were not sent are empty.
type Response struct {
	ID     string
	Status string
	Fields string
	Body   buffer.Chain // owned by whoever is handed the response
}

// Parser takes responses off a stream. The memory that a stream can make it hold is bounded by its limits.
type Parser struct {
	buffers *buffer.Pool
	limits  Limits

	state        parserState
	header       []byte // of the header line being read
	elementCount int    // announced by the array's header
	elementIndex int    // of the element being read
	element      []byte // bytes read of it, for all elements but the body
	remaining    int    // bytes to come of the bulk string; in state atTerminator: of its line end
	current      Response
}

type parserState uint8

const (
	atArrayHeader parserState = iota
	atBulkHeader
	inBulkString
	atTerminator // in the line end behind a bulk string
)

// NewParser returns a parser at the start of a stream. Bodies are held in buffers of the pool.
func NewParser(buffers *buffer.Pool, limits Limits) Parser {
	return Parser{buffers: buffers, limits: limits}
}

// Feed reads the next bytes of the stream and calls handle with each response that they complete, in their order. An
// error (ErrMalformed, ErrTooLarge, or of the buffer pool) is final: the stream can't be read any further.
func (p *Parser) Feed(data []byte, handle func(Response)) error {
	for len(data) > 0 {
		var err error
		switch p.state {
		case atArrayHeader, atBulkHeader:
			data, err = p.readHeader(data)
		case inBulkString:
			data, err = p.readBulkString(data)
		case atTerminator:
			data, err = p.readTerminator(data, handle)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// InProgress tells whether the stream stands within a response.
func (p *Parser) InProgress() bool {
	return p.state != atArrayHeader || len(p.header) > 0
}

// Release gives back the buffers of a response that is not complete. The parser must not be fed afterwards.
func (p *Parser) Release() {
	p.current.Body.Release()
}

// readHeader reads a header line up to its end, or all of data where that does not hold the end, and returns the rest.
func (p *Parser) readHeader(data []byte) ([]byte, error) {
	for i, c := range data {
		if c == '\n' {
			return data[i+1:], p.finishHeader()
		}
		if len(p.header) >= maxHeaderBytes {
			return nil, fmt.Errorf("%w: header of over %d bytes", ErrTooLarge, maxHeaderBytes)
		}
		p.header = append(p.header, c)
		// Noise that never ends its line must not hold up the attempts on the connection, so each byte is checked as it
		// arrives.
		if !p.validHeaderByte(c) {
			return nil, fmt.Errorf("%w: %.16q begins no header", ErrMalformed, p.header)
		}
	}
	return nil, nil
}

// validHeaderByte tells whether the latest byte of the header may stand there: first the mark of its type, then digits
// and '\r'. A minus may not: null strings and null arrays are no responses.
func (p *Parser) validHeaderByte(c byte) bool {
	if len(p.header) > 1 {
		return c == '\r' || ('0' <= c && c <= '9')
	}
	if p.state == atBulkHeader {
		return c == bulkMark
	}
	return c == arrayMark
}

func (p *Parser) finishHeader() error {
	number, err := headerNumber(p.header)
	if err != nil {
		return err
	}
	p.header = p.header[:0]
	if p.state == atArrayHeader {
		return p.beginResponse(number)
	}
	return p.beginElement(number)
}

// headerNumber reads a header without its final '\n'.
func headerNumber(header []byte) (int, error) {
	last := len(header) - 1
	if last < 2 || header[last] != '\r' {
		return 0, fmt.Errorf("%w: %.16q is no header", ErrMalformed, header)
	}
	number, err := strconv.Atoi(string(header[1:last]))
	if err != nil {
		return 0, fmt.Errorf("%w: header: %w", ErrMalformed, err)
	}
	return number, nil
}

func (p *Parser) beginResponse(elements int) error {
	if elements < minElements {
		return fmt.Errorf("%w: %d elements, want at least %d", ErrMalformed, elements, minElements)
	}
	if elements > maxElements {
		return fmt.Errorf("%w: %d elements, want at most %d", ErrTooLarge, elements, maxElements)
	}
	p.elementCount = elements
	p.elementIndex = 0
	p.current = Response{Body: p.buffers.NewChain()}
	p.state = atBulkHeader
	return nil
}

func (p *Parser) beginElement(length int) error {
	if limit := p.elementLimit(); length > limit {
		return fmt.Errorf("%w: element %d of %d bytes, want at most %d", ErrTooLarge, p.elementIndex, length, limit)
	}
	p.element = p.element[:0]
	if length == 0 {
		p.expectTerminator()
		return nil
	}
	p.remaining = length
	p.state = inBulkString
	return nil
}

func (p *Parser) elementLimit() int {
	switch p.elementIndex {
	case idElement:
		return maxIDBytes
	case statusElement:
		return maxStatusBytes
	case fieldsElement:
		return p.limits.Fields
	default:
		return p.limits.Body
	}
}

func (p *Parser) expectTerminator() {
	p.remaining = len(lineEnd)
	p.state = atTerminator
}

func (p *Parser) readBulkString(data []byte) ([]byte, error) {
	size := min(p.remaining, len(data))
	if p.elementIndex == bodyElement {
		if err := p.current.Body.Append(data[:size]); err != nil {
			return nil, err
		}
	} else {
		p.element = append(p.element, data[:size]...)
	}
	p.remaining -= size
	if p.remaining == 0 {
		p.expectTerminator()
	}
	return data[size:], nil
}

// readTerminator reads one byte of the line end behind a bulk string. The last element's completes the response.
func (p *Parser) readTerminator(data []byte, handle func(Response)) ([]byte, error) {
	if data[0] != lineEnd[len(lineEnd)-p.remaining] {
		return nil, fmt.Errorf("%w: element %d is longer than its header says", ErrMalformed, p.elementIndex)
	}
	p.remaining--
	if p.remaining == 0 {
		p.finishElement(handle)
	}
	return data[1:], nil
}

func (p *Parser) finishElement(handle func(Response)) {
	switch p.elementIndex {
	case idElement:
		p.current.ID = string(p.element)
	case statusElement:
		p.current.Status = string(p.element)
	case fieldsElement:
		p.current.Fields = string(p.element)
	}
	p.element = p.element[:0]
	p.elementIndex++
	if p.elementIndex < p.elementCount {
		p.state = atBulkHeader
		return
	}
	response := p.current
	p.current = Response{}
	p.state = atArrayHeader
	handle(response)
}
