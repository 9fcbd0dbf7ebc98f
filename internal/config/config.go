// Package config reads what a director is told at its start, and derives the one set of limits that all other packages
// keep to: from EDGE_CONFIG and the environment, and from the operators' own file.
package config

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"time"

	"shaleyard/internal/strictconfig"
	"shaleyard/routing"
)

// Names of environment variables.
const (
	envConfig   = "EDGE_CONFIG"
	envName     = "EDGE_NAME"
	envListen   = "EDGE_LISTEN"
	envFD       = "EDGE_FD"
	envOperator = "EDGE_OPERATOR"
)

// Bounds of the resources in a configuration.
const (
	leastMemoryMB = 32
	mostMemoryMB  = 1 << 20
	leastSockets  = 64
	mostSockets   = 1 << 20
)

// firstInheritableFD is the first descriptor behind the standard streams.
const firstInheritableFD = 3

var errMissing = errors.New("missing")

// Config is what EDGE_CONFIG holds, checked.
type Config struct {
	Name             string
	ListenAddress    string
	DiscoveryAddress string
	OperatorAddress  string // for operators' calls; "": none
	Seed             uint64
	Bootstrap        Bootstrap
	Settings         routing.Settings
	Limits           Limits

	InheritedFD int // descriptor of an inherited listening socket; 0: none
}

// Bootstrap is the list service's history at the start.
type Bootstrap struct {
	Revision uint64            `json:"n"`
	Events   []json.RawMessage `json:"events"`
}

// document is the form of EDGE_CONFIG's file.
type document struct {
	Name   string `json:"name"`
	Listen string `json:"listen"`
	Seed   string `json:"seed"`
	Limits struct {
		Cores    float64 `json:"cores"`
		MemoryMB float64 `json:"memory_mb"`
		Sockets  float64 `json:"sockets"`
	} `json:"limits"`
	Discovery string          `json:"feed"`
	Operator  string          `json:"operator"`
	Bootstrap Bootstrap       `json:"known"`
	Settings  json.RawMessage `json:"settings"`
}

// transportSettings are the settings that only connections need.
type transportSettings struct {
	Ceilings struct {
		ConnectTimeout time.Duration `json:"connectTimeout"`
		Keepalive      time.Duration `json:"keepalive"`
		StreamsPerConn int           `json:"streamsPerConn"`
	} `json:"ceilings"`
}

// keyError is a fault of a key of EDGE_CONFIG's file, or of an environment variable. It names no file, as there is one.
func keyError(key string, err error) error { return &strictconfig.Error{Key: key, Err: err} }

func keyErrorf(key, format string, args ...any) error {
	return keyError(key, fmt.Errorf(format, args...))
}

// Load reads the file that EDGE_CONFIG names. EDGE_NAME and EDGE_LISTEN, where set, must not contradict it. EDGE_FD,
// where set, is the descriptor of a socket that listens there already. EDGE_OPERATOR, where set, takes precedence over
// the file: two processes that replace one another may read the same one. The limit of descriptors takes precedence
// over a higher one in the file. An error is a *strictconfig.Error that names the key or variable.
func Load(getenv func(string) string, descriptors uint64) (*Config, error) {
	path := getenv(envConfig)
	if path == "" {
		return nil, keyErrorf(envConfig, "not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, keyError(envConfig, err)
	}
	parsed, err := parse(text, descriptors, getenv(envOperator))
	if err != nil {
		return nil, err
	}
	if err := parsed.applyEnvironment(getenv); err != nil {
		return nil, err
	}
	return parsed, nil
}

// applyEnvironment checks the name and address against the environment, and takes the inherited descriptor from there.
func (c *Config) applyEnvironment(getenv func(string) string) error {
	if name := getenv(envName); name != "" && name != c.Name {
		return keyErrorf(envName, "%q, but name is %q", name, c.Name)
	}
	if address := getenv(envListen); address != "" && address != c.ListenAddress {
		return keyErrorf(envListen, "%q, but listen is %q", address, c.ListenAddress)
	}
	text := getenv(envFD)
	if text == "" {
		return nil
	}
	fd, err := strconv.Atoi(text)
	if err != nil || fd < firstInheritableFD {
		return keyErrorf(envFD, "%q is no descriptor", text)
	}
	c.InheritedFD = fd
	return nil
}

// Parse checks a configuration. An error is a *strictconfig.Error that names the key.
func Parse(text []byte, descriptors uint64) (*Config, error) { return parse(text, descriptors, "") }

// parse checks a configuration. The address for operators' calls, where given, takes precedence over the file's.
func parse(text []byte, descriptors uint64, operator string) (*Config, error) {
	doc, err := decodeDocument(text)
	if err != nil {
		return nil, err
	}
	doc.Operator = cmp.Or(operator, doc.Operator)
	if err := doc.checkIdentity(); err != nil {
		return nil, err
	}
	parsed := &Config{
		Name:             doc.Name,
		ListenAddress:    doc.Listen,
		DiscoveryAddress: doc.Discovery,
		OperatorAddress:  doc.Operator,
		Bootstrap:        doc.Bootstrap,
	}
	parsed.Seed, err = strconv.ParseUint(doc.Seed, 16, 64)
	if err != nil {
		return nil, keyErrorf("seed", "%q is no hex number of 64 bits", doc.Seed)
	}
	transport, err := parsed.decodeSettings(doc.Settings)
	if err != nil {
		return nil, err
	}
	doc.Limits.Sockets = min(doc.Limits.Sockets, float64(descriptors))
	if err := doc.checkResources(); err != nil {
		return nil, err
	}
	parsed.Limits = deriveLimits(doc, transport, &parsed.Settings)
	return parsed, nil
}

func decodeDocument(text []byte) (doc document, err error) {
	err = json.Unmarshal(text, &doc)
	var wrongType *json.UnmarshalTypeError
	switch {
	case err == nil:
		return doc, nil
	case errors.As(err, &wrongType):
		return doc, keyErrorf(wrongType.Field, "can't be a %s", wrongType.Value)
	}
	return doc, keyError("config", err)
}

// checkIdentity checks the director's name and the addresses.
func (d *document) checkIdentity() error {
	if d.Name == "" {
		return keyError("name", errMissing)
	}
	for _, a := range []struct{ key, address string }{
		{"listen", d.Listen},
		{"feed", d.Discovery},
		{"operator", d.Operator},
	} {
		if a.key == "operator" && a.address == "" {
			continue
		}
		if _, err := netip.ParseAddrPort(a.address); err != nil {
			return keyErrorf(a.key, "%q is no address and port", a.address)
		}
	}
	return nil
}

// checkResources checks what the process may use. The comparisons are written so that NaN fails them.
func (d *document) checkResources() error {
	resources := &d.Limits
	switch {
	case !(resources.Cores > 0):
		return keyErrorf("limits.cores", "%v", resources.Cores)
	case !(resources.MemoryMB >= leastMemoryMB) || resources.MemoryMB > mostMemoryMB:
		return keyErrorf("limits.memory_mb", "%v, %d at least", resources.MemoryMB, leastMemoryMB)
	case !(resources.Sockets >= leastSockets) || resources.Sockets > mostSockets:
		return keyErrorf("limits.sockets", "%v, %d at least", resources.Sockets, leastSockets)
	}
	return nil
}

// decodeSettings reads the settings, and returns the part of them that is not routing's.
func (c *Config) decodeSettings(text json.RawMessage) (transport transportSettings, err error) {
	if len(text) == 0 || string(text) == "null" {
		return transport, keyError("settings", errMissing)
	}
	if err := json.Unmarshal(text, &c.Settings); err != nil {
		return transport, keyError("settings", err)
	}
	if err := json.Unmarshal(text, &transport); err != nil {
		return transport, keyError("settings", err)
	}
	return transport, nil
}

// CheckReload tells whether a running program may change to another configuration: one that is for another director, or
// for another address, must not be taken for this one's.
func (c *Config) CheckReload(next *Config) error {
	switch {
	case next.Name != c.Name:
		return keyErrorf("name", "%q, but this is %q", next.Name, c.Name)
	case next.ListenAddress != c.ListenAddress:
		return keyErrorf("listen", "%q can't change from %q without a restart", next.ListenAddress, c.ListenAddress)
	}
	return nil
}
