package resp

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"shaleyard/internal/buffer"
)

func array(words ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(words))
	for _, word := range words {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(word), word)
	}
	return b.String()
}

// parseInPieces feeds a stream in pieces of one size and returns the responses, each as its words.
func parseInPieces(stream string, size int, pool *buffer.Pool) (got [][]string, err error) {
	parser := NewParser(pool, Limits{Fields: 64, Body: 100})
	defer parser.Release()
	for len(stream) > 0 && err == nil {
		piece := min(size, len(stream))
		err = parser.Feed([]byte(stream[:piece]), func(response Response) {
			var body strings.Builder
			for _, segment := range response.Body.Segments(nil) {
				body.Write(segment)
			}
			got = append(got, []string{response.ID, response.Status, response.Fields, body.String()})
			response.Body.Release()
		})
		stream = stream[piece:]
	}
	return got, err
}

func TestParserReadsResponsesInAnyPieces(t *testing.T) {
	body := strings.Repeat("x\r\n$*", 20)
	stream := array("id1", "OK", "n=HIT", body) + array("id2", "MISS") + array("id3", "ERR", "-", "")
	want := [][]string{{"id1", "OK", "n=HIT", body}, {"id2", "MISS", "", ""}, {"id3", "ERR", "-", ""}}
	for size := 1; size <= len(stream); size++ {
		pool := buffer.NewPool(16, 16)
		got, err := parseInPieces(stream, size, pool)
		if err != nil {
			t.Fatalf("pieces of %d: %v", size, err)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Fatalf("pieces of %d: %s", size, diff)
		}
		if pool.InUse() != 0 {
			t.Fatalf("pieces of %d: %d buffers left", size, pool.InUse())
		}
	}
}

// Whatever an endpoint sends, the memory it can make the parser hold is bounded.
func TestParserRejectsMalformedResponses(t *testing.T) {
	for _, stream := range []string{
		"+OK\r\n",
		"*0\r\n",
		"*1\r\n",
		"*5\r\n",
		"*-1\r\n",
		"*2\r\n$-1\r\n",
		"*2\r\n:1\r\n",
		"*2\r\n$3\r\nabcd",
		"*2\n",
		"2",
		"*4\r\n$noise",
		strings.Repeat("1", 40),
		"*2\r\n$65\r\n",
		"*4\r\n$1\r\na\r\n$2\r\nOK\r\n$65\r\n",
		"*4\r\n$1\r\na\r\n$2\r\nOK\r\n$1\r\n-\r\n$101\r\n",
		"*2\r\n$99999999999999999999\r\n",
	} {
		if _, err := parseInPieces(stream, len(stream), buffer.NewPool(16, 16)); err == nil {
			t.Errorf("%q was taken", stream)
		}
	}
	stream := array("a", "OK", "-", strings.Repeat("x", 90))
	if _, err := parseInPieces(stream, 7, buffer.NewPool(16, 2)); err == nil {
		t.Error("a body beyond the pool was taken")
	}
}

func TestErrorsTellMalformedFromTooLarge(t *testing.T) {
	for _, tc := range []struct {
		name   string
		stream string
		want   error
	}{
		{"another type", "+OK\r\n", ErrMalformed},
		{"null string", "*2\r\n$-1\r\n", ErrMalformed},
		{"no number", "*\r\n", ErrMalformed},
		{"string longer than announced", "*2\r\n$1\r\nab", ErrMalformed},
		{"too few elements", "*1\r\n", ErrMalformed},
		{"too many elements", "*5\r\n", ErrTooLarge},
		{"header too long", "*" + strings.Repeat("0", 40), ErrTooLarge},
		{"id too long", "*2\r\n$65\r\n", ErrTooLarge},
		{"pool exhausted", array("a", "OK", "-", strings.Repeat("x", 90)), buffer.ErrExhausted},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if _, err := parseInPieces(tc.stream, 1, buffer.NewPool(16, 2)); !errors.Is(err, tc.want) {
				t.Errorf("error %v, want %v", err, tc.want)
			}
		})
	}
}

func TestAppendBuildsRequests(t *testing.T) {
	got := AppendArrayHeader(nil, 3)
	got = AppendBulkString(got, "REQ")
	got = AppendBulkString(got, "")
	got = AppendBulkHeader(got, 4)
	if diff := cmp.Diff("*3\r\n$3\r\nREQ\r\n$0\r\n\r\n$4\r\n", string(got)); diff != "" {
		t.Error(diff)
	}
}

func FuzzParser(f *testing.F) {
	f.Add(array("id1", "OK", "n=HIT,fill=3", "body")+array("id2", "BUSY", "-", ""), uint8(3))
	f.Add("*2\r\n$0\r\n\r\n$0\r\n\r\n", uint8(1))
	f.Fuzz(func(t *testing.T, stream string, size uint8) {
		pool := buffer.NewPool(16, 16)
		whole, errWhole := parseInPieces(stream, max(1, len(stream)), pool)
		pieces, errPieces := parseInPieces(stream, int(size)+1, pool)
		if diff := cmp.Diff(whole, pieces); diff != "" || (errWhole == nil) != (errPieces == nil) {
			t.Errorf("pieces of %d: %v, whole %v: %s", int(size)+1, errPieces, errWhole, diff)
		}
		if pool.InUse() != 0 {
			t.Errorf("%d buffers left", pool.InUse())
		}
	})
}
