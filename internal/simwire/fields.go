package simwire

import (
	"fmt"
	"math"

	"shaleyard/routing"
)

// fieldDecoder takes fields off a record. After the first error all fields are zero.
type fieldDecoder struct {
	rest []byte
	err  error
}

// fail keeps the first error.
func (d *fieldDecoder) fail(format string, args ...any) {
	if d.err == nil {
		d.err = fmt.Errorf(format, args...)
	}
}

// take takes bytes off the record. They are valid as long as the record's.
func (d *fieldDecoder) take(size int) []byte {
	if d.err != nil || size > len(d.rest) {
		d.fail("fields are cut short")
		return nil
	}
	field := d.rest[:size]
	d.rest = d.rest[size:]
	return field
}

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

// loadReport decodes a load report: a count, and as many figures; nil: none.
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

func (d *fieldDecoder) result() routing.Result {
	code := d.u16()
	result, known := resultsByCode[code]
	if !known {
		d.fail("unknown result %d", code)
	}
	return result
}

// members decodes a list of servers.
func (d *fieldDecoder) endpoints() []routing.Endpoint {
	count := int(d.u32())
	if d.err != nil || count > len(d.rest)/endpointBytes {
		d.fail("list is cut short")
		return nil
	}
	endpoints := make([]routing.Endpoint, count)
	for i := range endpoints {
		endpoints[i] = d.endpoint()
	}
	return endpoints
}

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
		d.fail("member state %d", endpoint.State)
	}
	return endpoint
}
