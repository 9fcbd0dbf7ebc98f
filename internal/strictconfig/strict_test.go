package strictconfig

import (
	"errors"
	"testing"
)

const sample = `name = "x"

[clients]
zipf = 1.1

[[step]]
do = "drain"

[[step]]
do = "stop"
[plan]
shares = {big = 0.5}

[[plan.pin]]
share = 0.5
`

func TestFindLine(t *testing.T) {
	for _, tc := range []struct {
		key  string
		want int
	}{
		{"name", 1},
		{"clients.zipf", 4},
		{"step[0].do", 7},
		{"step[1].do", 10},
		{"plan.shares.big", 12},
		{"plan.pin[0].share", 15},
		{"clients.unheard", 0},
		{"", 0},
	} {
		t.Run(tc.key, func(t *testing.T) {
			if got := FindLine([]byte(sample), tc.key); got != tc.want {
				t.Errorf("got line %d, want %d", got, tc.want)
			}
		})
	}
}

func TestUnknownKeyErrorNamesKey(t *testing.T) {
	var target struct {
		Clients struct {
			Zipf float64 `toml:"zipf"`
		} `toml:"clients"`
	}
	err := Decode("x.toml", []byte("[clients]\nzipf = 1.0\nzipff = 2.0\n"), &target)
	var keyErr *Error
	if !errors.Is(err, ErrUnknownKey) || !errors.As(err, &keyErr) {
		t.Fatalf("got error %v, want an *Error with ErrUnknownKey", err)
	}
	if want := (Error{File: "x.toml", Line: 3, Key: "clients.zipff", Err: ErrUnknownKey}); *keyErr != want {
		t.Errorf("got %+v, want %+v", *keyErr, want)
	}
}

func TestLocateAddsFileAndLine(t *testing.T) {
	cause := errors.New("too large")
	located := Locate(&Error{Key: "clients.zipf", Err: cause}, "x.toml", []byte(sample))
	if !errors.Is(located, cause) || located.Error() != "x.toml:4: clients.zipf: too large" {
		t.Errorf("got error %v, want x.toml:4: clients.zipf: too large", located)
	}
	other := errors.New("another")
	if located := Locate(other, "x.toml", []byte(sample)); !errors.Is(located, other) || located.Error() != "another" {
		t.Errorf("got error %v, want the error without a key unchanged", located)
	}
}
