package buffer

import (
	"bytes"
	"errors"
	"testing"
)

func TestChainHoldsWhatWasAppended(t *testing.T) {
	p := NewPool(8, 4)
	c := p.NewChain()
	want := []byte("0123456789abcdefXYZ")
	for _, b := range want {
		if err := c.Append([]byte{b}); err != nil {
			t.Fatal(err)
		}
	}
	if got := bytes.Join(c.Segments(nil), nil); !bytes.Equal(got, want) || c.Len() != len(want) {
		t.Errorf("chain holds %q (%d), want %q", got, c.Len(), want)
	}
	if p.InUse() != 3 {
		t.Errorf("%d buffers lent, want 3", p.InUse())
	}
	c.Release()
	if p.InUse() != 0 || c.Len() != 0 {
		t.Errorf("after release %d buffers lent, chain of %d", p.InUse(), c.Len())
	}
}

// A pool that lent without a bound would be the end of a director under its memory limit.
func TestPoolIsBounded(t *testing.T) {
	p := NewPool(4, 2)
	a, b := p.NewChain(), p.NewChain()
	if err := a.Append(make([]byte, 8)); err != nil {
		t.Fatal(err)
	}
	if err := b.Append([]byte{1}); !errors.Is(err, ErrExhausted) {
		t.Errorf("error %v, want %v", err, ErrExhausted)
	}
	a.Release()
	if err := b.Append([]byte{1}); err != nil {
		t.Errorf("after a release: %v", err)
	}
}
