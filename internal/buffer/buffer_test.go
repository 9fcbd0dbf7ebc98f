package buffer

import (
	"bytes"
	"errors"
	"testing"
)

func TestChainHoldsAppendedData(t *testing.T) {
	pool := NewPool(8, 4)
	chain := pool.NewChain()
	want := []byte("0123456789abcdefXYZ")
	for _, octet := range want {
		if err := chain.Append([]byte{octet}); err != nil {
			t.Fatal(err)
		}
	}
	if got := bytes.Join(chain.Segments(nil), nil); !bytes.Equal(got, want) || chain.Len() != len(want) {
		t.Errorf("got segments %q and length %d, want %q", got, chain.Len(), want)
	}
	if pool.InUse() != 3 {
		t.Errorf("got %d buffers in use, want 3", pool.InUse())
	}
	chain.Release()
	if pool.InUse() != 0 || chain.Len() != 0 {
		t.Errorf("after Release: got %d buffers in use and length %d, want 0 and 0", pool.InUse(), chain.Len())
	}
}

// Without a bound, a pool grows until the director is killed at its memory limit.
func TestPoolIsBounded(t *testing.T) {
	pool := NewPool(4, 2)
	first, second := pool.NewChain(), pool.NewChain()
	if err := first.Append(make([]byte, 8)); err != nil {
		t.Fatal(err)
	}
	if err := second.Append([]byte{1}); !errors.Is(err, ErrExhausted) {
		t.Errorf("Append with all buffers in use: got error %v, want %v", err, ErrExhausted)
	}
	first.Release()
	if err := second.Append([]byte{1}); err != nil {
		t.Errorf("Append after buffers were released: %v", err)
	}
}
