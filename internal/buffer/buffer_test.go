package buffer

import (
	"bytes"
	"errors"
	"testing"
)

func TestChainHoldsWhatWasAppended(t *testing.T) {
	pool := NewPool(8, 4)
	chain := pool.NewChain()
	want := []byte("0123456789abcdefXYZ")
	for _, octet := range want {
		if err := chain.Append([]byte{octet}); err != nil {
			t.Fatal(err)
		}
	}
	if got := bytes.Join(chain.Segments(nil), nil); !bytes.Equal(got, want) || chain.Len() != len(want) {
		t.Errorf("chain holds %q (%d), want %q", got, chain.Len(), want)
	}
	if pool.InUse() != 3 {
		t.Errorf("%d buffers in use, want 3", pool.InUse())
	}
	chain.Release()
	if pool.InUse() != 0 || chain.Len() != 0 {
		t.Errorf("after release %d buffers in use, chain of %d", pool.InUse(), chain.Len())
	}
}

// A pool that lent without a bound would have a director killed at its memory limit.
func TestPoolIsBounded(t *testing.T) {
	pool := NewPool(4, 2)
	first, second := pool.NewChain(), pool.NewChain()
	if err := first.Append(make([]byte, 8)); err != nil {
		t.Fatal(err)
	}
	if err := second.Append([]byte{1}); !errors.Is(err, ErrExhausted) {
		t.Errorf("error %v, want %v", err, ErrExhausted)
	}
	first.Release()
	if err := second.Append([]byte{1}); err != nil {
		t.Errorf("after a release: %v", err)
	}
}
