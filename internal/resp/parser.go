package resp

import (
	"errors"
	"fmt"
	"strconv"

	"shaleyard/internal/buffer"
)

// Fixed bounds of a response. The bounds of the FIELDS and BODY elements depend on the configuration; see Limits.
const (
	responseElements = 4 // ID, STATUS, FIELDS and BODY
	maxHeaderBytes   = 32
	maxIDBytes       = 64
	maxStatusBytes   = 16
)

// Indexes of the elements in the array of a response.
const (
	idElement = iota
	statusElement
	fieldsElement
	bodyElement
)

var (
	// ErrMalformed is returned for data that cannot be part of a response.
	ErrMalformed = errors.New("malformed response")
	// ErrTooLarge is returned for a response with more elements, a longer element or a longer header than allowed.
	ErrTooLarge = errors.New("response too large")
)

// Limits holds the maximum sizes, in bytes, of the response elements whose bound depends on the configuration.
type Limits struct {
	Fields int
	Body   int
}

// Response is one response.
type Response struct {
	ID     string
	Status string
	Fields string
	Body   buffer.Chain // owned by the function that receives the response
	// BodyDropped is whether the body was read but not kept.
	BodyDropped bool
}

// Owner decides about the bodies of a parser's responses.
type Owner interface {
	// WantsBody reports whether the body of the response with this ID is kept. If not, its bytes are read and dropped.
	WantsBody(id string) bool
	// FreeBuffers is called while the pool has no buffer for the body that is being read. It must release buffers, or
	// call DropBody of the parser.
	FreeBuffers()
	// MoreArrived reports whether more of the stream has arrived than has been fed to the parser. A complete response
	// is then held until the next byte shows that it ends where its lengths say.
	MoreArrived() bool
}

// Parser reads responses from a stream. Its limits bound the memory that it holds, whatever the stream contains.
type Parser struct {
	buffers *buffer.Pool
	limits  Limits
	owner   Owner

	state        parserState
	header       []byte   // bytes read so far of the current header line
	elementIndex int      // index of the current element
	element      []byte   // bytes read so far of the current element; unused for the body
	remaining    int      // bytes still to be read of the current bulk string or, in stateTerminator, of its CRLF
	current      Response // the response being read
}

// parserState is the part of a response that the parser reads next.
type parserState uint8

const (
	stateArrayHeader parserState = iota
	stateBulkHeader
	stateBulkString
	stateTerminator // in the CRLF after a bulk string
	stateNextArray  // behind a complete response, before the first byte of the next one
)

// NewParser returns a parser for a stream, from its start. The parser stores response bodies in buffers of the pool. A
// body for which the pool has no buffers does not end the stream: see Owner.
func NewParser(buffers *buffer.Pool, limits Limits, owner Owner) Parser {
	return Parser{buffers: buffers, limits: limits, owner: owner}
}

// Feed parses the next bytes of the stream and calls handle for each response that they complete, in stream order.
// After an error (ErrMalformed or ErrTooLarge) the rest of the stream cannot be parsed.
func (p *Parser) Feed(data []byte, handle func(Response)) error {
	for len(data) > 0 {
		var err error
		switch p.state {
		case stateArrayHeader, stateBulkHeader:
			data, err = p.readHeader(data)
		case stateBulkString:
			data = p.readBulkString(data)
		case stateTerminator:
			data, err = p.readTerminator(data, handle)
		case stateNextArray:
			err = p.finishBefore(data[0], handle)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// InProgress reports whether the parser has read a part of a response but not all of it.
func (p *Parser) InProgress() bool {
	return p.state != stateArrayHeader || len(p.header) > 0
}

// Release returns the buffers of an incomplete response to the pool. Feed must not be called afterwards.
func (p *Parser) Release() {
	p.current.Body.Release()
}

// BodyBuffers returns the number of buffers that the body of an incomplete response holds.
func (p *Parser) BodyBuffers() int { return p.current.Body.Buffers() }

// BodyLen returns the number of bytes that are held of the body of an incomplete response.
func (p *Parser) BodyLen() int { return p.current.Body.Len() }

// DropBody releases the buffers of an incomplete response and drops the rest of its body. The response is still read to
// its end, so that the stream can be used further.
func (p *Parser) DropBody() {
	p.current.Body.Release()
	p.current.BodyDropped = true
}

// ReadingID returns the ID of the incomplete response, or "" if there is none or its ID is incomplete.
func (p *Parser) ReadingID() string { return p.current.ID }

// readHeader reads a header line from data up to the line's end, and returns the rest of data. If the line does not end
// in data, readHeader reads all of data.
func (p *Parser) readHeader(data []byte) ([]byte, error) {
	for i, c := range data {
		if c == '\n' {
			return data[i+1:], p.finishHeader()
		}
		if len(p.header) >= maxHeaderBytes {
			return nil, fmt.Errorf("%w: header is longer than %d bytes", ErrTooLarge, maxHeaderBytes)
		}
		p.header = append(p.header, c)
		// Each byte is checked as it arrives: invalid data without a line end must not delay the failure of the
		// attempts on the connection.
		if !p.validHeaderByte(c) {
			return nil, fmt.Errorf("%w: invalid start of a header %.16q", ErrMalformed, p.header)
		}
	}
	return nil, nil
}

// validHeaderByte reports whether c, the last byte read of the header, is allowed at its position: first the byte that
// identifies the type, then digits and '\r'. A minus sign is not allowed, because null strings and null arrays are not
// part of the protocol.
func (p *Parser) validHeaderByte(c byte) bool {
	if len(p.header) > 1 {
		return c == '\r' || ('0' <= c && c <= '9')
	}
	if p.state == stateBulkHeader {
		return c == bulkPrefix
	}
	return c == arrayPrefix
}

// finishHeader parses the header line that has been read, and begins the response or the element that it announces.
func (p *Parser) finishHeader() error {
	number, err := headerNumber(p.header)
	if err != nil {
		return err
	}
	p.header = p.header[:0]
	if p.state == stateArrayHeader {
		return p.beginResponse(number)
	}
	return p.beginElement(number)
}

// headerNumber returns the number in a header line, which is given without its final '\n'.
func headerNumber(header []byte) (int, error) {
	last := len(header) - 1
	if last < 2 || header[last] != '\r' {
		return 0, fmt.Errorf("%w: invalid header %.16q", ErrMalformed, header)
	}
	digits := string(header[1:last])
	number, err := strconv.Atoi(digits)
	if err != nil {
		return 0, fmt.Errorf("%w: invalid number in header: %w", ErrMalformed, err)
	}
	if digits[0] == '0' && len(digits) > 1 {
		return 0, fmt.Errorf("%w: leading zero in header %.16q", ErrMalformed, header)
	}
	return number, nil
}

func (p *Parser) beginResponse(elements int) error {
	if elements < responseElements {
		return fmt.Errorf("%w: array has %d elements, want %d", ErrMalformed, elements, responseElements)
	}
	if elements > responseElements {
		return fmt.Errorf("%w: array has %d elements, want %d", ErrTooLarge, elements, responseElements)
	}
	p.elementIndex = 0
	p.current = Response{Body: p.buffers.NewChain()}
	p.state = stateBulkHeader
	return nil
}

func (p *Parser) beginElement(length int) error {
	if limit := p.elementLimit(); length > limit {
		return fmt.Errorf("%w: element %d has %d bytes, want at most %d", ErrTooLarge, p.elementIndex, length, limit)
	}
	p.element = p.element[:0]
	if p.elementIndex == bodyElement && !p.owner.WantsBody(p.current.ID) {
		p.DropBody()
	}
	if length == 0 {
		p.expectTerminator()
		return nil
	}
	p.remaining = length
	p.state = stateBulkString
	return nil
}

// elementLimit returns the maximum length of the current element in bytes.
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
	p.remaining = len(crlf)
	p.state = stateTerminator
}

func (p *Parser) readBulkString(data []byte) []byte {
	size := min(p.remaining, len(data))
	if p.elementIndex == bodyElement {
		p.storeBody(data[:size])
	} else {
		p.element = append(p.element, data[:size]...)
	}
	p.remaining -= size
	if p.remaining == 0 {
		p.expectTerminator()
	}
	return data[size:]
}

// storeBody stores a part of the body, unless the body is dropped.
func (p *Parser) storeBody(part []byte) {
	for !p.current.BodyDropped {
		held := p.current.Body.Len()
		if p.current.Body.Append(part) == nil {
			return
		}
		part = part[p.current.Body.Len()-held:]
		p.owner.FreeBuffers()
	}
}

// readTerminator reads one byte of the CRLF after a bulk string. The CRLF of the last element completes the response.
func (p *Parser) readTerminator(data []byte, handle func(Response)) ([]byte, error) {
	if data[0] != crlf[len(crlf)-p.remaining] {
		return nil, fmt.Errorf("%w: element %d is longer than its header says", ErrMalformed, p.elementIndex)
	}
	p.remaining--
	rest := data[1:]
	switch {
	case p.remaining > 0:
	case p.elementIndex == responseElements-1 && (len(rest) > 0 || p.owner.MoreArrived()):
		p.state = stateNextArray
	default:
		p.finishElement(handle)
	}
	return rest, nil
}

// finishBefore finishes a response behind which another byte has arrived. If that byte begins no other response, the
// length of the body is wrong, and its CRLF is a part of the body.
func (p *Parser) finishBefore(next byte, handle func(Response)) error {
	if next != arrayPrefix {
		return fmt.Errorf("%w: no array behind the last element", ErrMalformed)
	}
	p.finishElement(handle)
	return nil
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
	if p.elementIndex < responseElements {
		p.state = stateBulkHeader
		return
	}
	response := p.current
	p.current = Response{}
	p.state = stateArrayHeader
	handle(response)
}
