package simwire

import (
	"fmt"
	"math"

	"shaleyard/routing"
)

// fieldDecoder decodes the fields of one record in order. After the first error it returns zero values.
type fieldDecoder struct {
	rest []byte
	err  error
}

// fail records an error. Errors after the first are ignored.
func (d *fieldDecoder) fail(format string, args ...any) {
	if d.err == nil {
		d.err = fmt.Errorf(format, args...)
	}
}

// take returns the next size bytes of the record, and nil when fewer are left. The slice shares the record's memory.
func (d *fieldDecoder) take(size int) []byte {
	if d.err != nil || size > len(d.rest) {
		d.fail("truncated fields: need %d bytes, have %d", size, len(d.rest))
		return nil
	}
	field := d.rest[:size]
	d.rest = d.rest[size:]
	return field
}

// uint decodes a big-endian unsigned integer of size bytes, at most 8.
func (d *fieldDecoder) uint(size int) (v uint64) {
	for _, octet := range d.take(size) {
		v = v<<8 | uint64(octet)
	}
	return v
}

func (d *fieldDecoder) u8() uint8          { return uint8(d.uint(1)) }
func (d *fieldDecoder) u16() uint16        { return uint16(d.uint(2)) }
func (d *fieldDecoder) u32() uint32        { return uint32(d.uint(4)) }
func (d *fieldDecoder) u64() uint64        { return d.uint(8) }
func (d *fieldDecoder) f32() float64       { return float64(math.Float32frombits(d.u32())) }
func (d *fieldDecoder) time() routing.Time { return routing.Time(d.uint(8)) }
func (d *fieldDecoder) host() routing.Host { return routing.Host(d.uint(6)) }

// loadReport decodes a load report: a count and that many float32 values. It returns nil for a count of 0.
func (d *fieldDecoder) loadReport() []float32 {
	count := int(d.u8())
	if count == 0 || d.err != nil {
		return nil
	}
	report := make([]float32, count)
	for i := range report {
		report[i] = math.Float32frombits(d.u32())
	}
	return report
}

// result decodes the code of an attempt's or a probe's result, and fails on a code that is not in resultsByCode.
func (d *fieldDecoder) result() routing.Result {
	code := d.u16()
	result, known := resultsByCode[code]
	if !known {
		d.fail("unknown result code %d", code)
	}
	return result
}

// endpoints decodes an endpoint list: a count and that many endpoints.
func (d *fieldDecoder) endpoints() []routing.Endpoint {
	count := int(d.u32())
	if d.err != nil || count > len(d.rest)/endpointBytes {
		d.fail("truncated endpoint list: %d endpoints in %d bytes", count, len(d.rest))
		return nil
	}
	endpoints := make([]routing.Endpoint, count)
	for i := range endpoints {
		endpoints[i] = d.endpoint()
	}
	return endpoints
}

// endpoint decodes one endpoint, and fails on an unknown state.
func (d *fieldDecoder) endpoint() routing.Endpoint {
	endpoint := routing.Endpoint{
		Host:    d.host(),
		Zone:    int(d.u16()),
		Kind:    int(d.u8()),
		State:   routing.State(d.u8()),
		Started: d.time(),
		Weight:  d.f32(),
		Cell:    int(d.u16()),
	}
	if endpoint.State > routing.Ready {
		d.fail("invalid endpoint state %d", endpoint.State)
	}
	return endpoint
}
