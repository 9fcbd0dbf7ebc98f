package upstream

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"shaleyard/internal/buffer"
)

func bulkArray(words ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(words))
	for _, w := range words {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(w), w)
	}
	return b.String()
}

// parseInPieces feeds a stream in pieces of one size and returns the answers, each as its words.
func parseInPieces(stream string, piece int, pool *buffer.Pool) (got [][]string, err error) {
	p := parser{pool: pool, maxFields: 64, maxBody: 100}
	defer p.release()
	for len(stream) > 0 && err == nil {
		k := min(piece, len(stream))
		err = p.feed([]byte(stream[:k]), func(a response) {
			var body strings.Builder
			for _, b := range a.body.Segments(nil) {
				body.Write(b)
			}
			got = append(got, []string{a.id, a.status, a.fields, body.String()})
			a.body.Release()
		})
		stream = stream[k:]
	}
	return got, err
}

func TestParserTakesAnswersInAnyPieces(t *testing.T) {
	body := strings.Repeat("x\r\n$*", 20)
	stream := bulkArray("id1", "OK", "n=HIT", body) + bulkArray("id2", "MISS") + bulkArray("id3", "ERR", "-", "")
	want := [][]string{{"id1", "OK", "n=HIT", body}, {"id2", "MISS", "", ""}, {"id3", "ERR", "-", ""}}
	for piece := 1; piece <= len(stream); piece++ {
		pool := buffer.NewPool(16, 16)
		got, err := parseInPieces(stream, piece, pool)
		if err != nil {
			t.Fatalf("pieces of %d: %v", piece, err)
		}
		if d := cmp.Diff(want, got); d != "" {
			t.Fatalf("pieces of %d: %s", piece, d)
		}
		if pool.InUse() != 0 {
			t.Fatalf("pieces of %d: %d buffers left", piece, pool.InUse())
		}
	}
}

// Whatever a peer sends, what it makes grow is bounded.
func TestParserRefusesWhatIsNoAnswer(t *testing.T) {
	for _, s := range []string{"+OK\r\n", "*0\r\n", "*1\r\n", "*5\r\n", "*-1\r\n", "*2\r\n$-1\r\n", "*2\r\n:1\r\n", "*2\r\n$3\r\nabcd",
		"*2\n", "2", "*4\r\n$noise", strings.Repeat("1", 40), "*2\r\n$65\r\n", "*4\r\n$1\r\na\r\n$2\r\nOK\r\n$65\r\n",
		"*4\r\n$1\r\na\r\n$2\r\nOK\r\n$1\r\n-\r\n$101\r\n", "*2\r\n$99999999999999999999\r\n"} {
		if _, err := parseInPieces(s, len(s), buffer.NewPool(16, 16)); err == nil {
			t.Errorf("%q was taken", s)
		}
	}
	if _, err := parseInPieces(bulkArray("a", "OK", "-", strings.Repeat("x", 90)), 7, buffer.NewPool(16, 2)); err == nil {
		t.Error("a body beyond the pool was taken")
	}
}

func FuzzParser(f *testing.F) {
	f.Add(bulkArray("id1", "OK", "n=HIT,fill=3", "body")+bulkArray("id2", "BUSY", "-", ""), uint8(3))
	f.Add("*2\r\n$0\r\n\r\n$0\r\n\r\n", uint8(1))
	f.Fuzz(func(t *testing.T, stream string, piece uint8) {
		pool := buffer.NewPool(16, 16)
		whole, err := parseInPieces(stream, max(1, len(stream)), pool)
		pieces, err2 := parseInPieces(stream, int(piece)+1, pool)
		if d := cmp.Diff(whole, pieces); d != "" || (err == nil) != (err2 == nil) {
			t.Errorf("pieces of %d: %v, whole %v: %s", int(piece)+1, err2, err, d)
		}
		if pool.InUse() != 0 {
			t.Errorf("%d buffers left", pool.InUse())
		}
	})
}
