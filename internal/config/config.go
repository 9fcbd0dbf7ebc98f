// Package config reads a director's configuration at its start, from the file that EDGE_CONFIG names, other environment
// variables and the operators' own file. It derives from them the one set of Limits that all other packages keep to.
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

// Smallest and largest resources that a configuration may give the process.
const (
	minMemoryMB = 32
	maxMemoryMB = 1 << 20
	minSockets  = 64
	maxSockets  = 1 << 20
)

// firstInheritableFD is the lowest descriptor after the three standard streams.
const firstInheritableFD = 3

// errMissing reports a required key that is absent or empty.
var errMissing = errors.New("missing")

// Config is the validated content of EDGE_CONFIG's file, with the environment variables that override it.
type Config struct {
	Name             string
	ListenAddress    string
	DiscoveryAddress string
	OperatorAddress  string // address that serves operators' calls; empty if there is none
	Seed             uint64
	Bootstrap        Bootstrap
	Settings         routing.Settings
	Limits           Limits

	InheritedFD int // descriptor of an inherited listening socket; 0 if there is none
}

// Bootstrap is the state of the discovery service that the configuration holds: the revision, and the events up to it.
type Bootstrap struct {
	Revision uint64            `json:"n"`
	Events   []json.RawMessage `json:"events"`
}

// document is the JSON form of EDGE_CONFIG's file.
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

// transportSettings holds the settings of upstream connections. The router does not use them.
type transportSettings struct {
	Ceilings struct {
		ConnectTimeout time.Duration `json:"connectTimeout"`
		Keepalive      time.Duration `json:"keepalive"`
		StreamsPerConn int           `json:"streamsPerConn"`
	} `json:"ceilings"`
}

// keyError returns an error of a key of EDGE_CONFIG's file or of an environment variable. The error names no file, as
// EDGE_CONFIG names only one.
func keyError(key string, err error) error { return &strictconfig.Error{Key: key, Err: err} }

// keyErrorf returns a keyError with a formatted text.
func keyErrorf(key, format string, args ...any) error {
	return keyError(key, fmt.Errorf(format, args...))
}

// Load reads the file that EDGE_CONFIG names, and the environment variables that complete it:
//   - EDGE_NAME and EDGE_LISTEN, if set, must equal the name and the address in the file.
//   - EDGE_FD, if set, is the descriptor of a socket that listens at the address already.
//   - EDGE_OPERATOR, if set, takes precedence over the operators' address in the file: two processes of which one
//     replaces the other may read the same file.
//
// descriptors is the process's limit of open descriptors; it takes precedence over a higher limit in the file. An error
// is a *strictconfig.Error that names the key or variable.
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

// applyEnvironment checks the name and the address against EDGE_NAME and EDGE_LISTEN, and sets InheritedFD from
// EDGE_FD.
func (c *Config) applyEnvironment(getenv func(string) string) error {
	if name := getenv(envName); name != "" && name != c.Name {
		return keyErrorf(envName, "is %q, but name in the configuration is %q", name, c.Name)
	}
	if address := getenv(envListen); address != "" && address != c.ListenAddress {
		return keyErrorf(envListen, "is %q, but listen in the configuration is %q", address, c.ListenAddress)
	}
	text := getenv(envFD)
	if text == "" {
		return nil
	}
	fd, err := strconv.Atoi(text)
	if err != nil || fd < firstInheritableFD {
		return keyErrorf(envFD, "invalid descriptor %q, must be a number of at least %d", text, firstInheritableFD)
	}
	c.InheritedFD = fd
	return nil
}

// Parse parses and validates the text of EDGE_CONFIG's file, without the environment. descriptors is the process's
// limit of open descriptors. An error is a *strictconfig.Error that names the key.
func Parse(text []byte, descriptors uint64) (*Config, error) { return parse(text, descriptors, "") }

// parse does the work of Parse. operator, if not empty, takes precedence over the file's address for operators' calls.
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
		return nil, keyErrorf("seed", "invalid seed %q, must be a hexadecimal number of at most 64 bits", doc.Seed)
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
		return doc, keyErrorf(wrongType.Field, "invalid JSON type %s, must be %s", wrongType.Value, wrongType.Type)
	}
	return doc, keyError("config", err)
}

// checkIdentity validates the director's name and the addresses. Only the address for operators' calls may be empty.
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

// checkResources validates the resources that the process may use. The comparisons are written so that NaN fails them.
func (d *document) checkResources() error {
	resources := &d.Limits
	switch {
	case !(resources.Cores > 0):
		return keyErrorf("limits.cores", "is %v, must be greater than 0", resources.Cores)
	case !(resources.MemoryMB >= minMemoryMB) || resources.MemoryMB > maxMemoryMB:
		return keyErrorf("limits.memory_mb", "is %v, must be %d to %d", resources.MemoryMB, minMemoryMB, maxMemoryMB)
	case !(resources.Sockets >= minSockets) || resources.Sockets > maxSockets:
		return keyErrorf("limits.sockets", "is %v, must be %d to %d", resources.Sockets, minSockets, maxSockets)
	}
	return nil
}

// decodeSettings decodes the settings: those of the router into c.Settings, and those of upstream connections into the
// result.
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

// CheckReload returns an error if a running process must not change to the next configuration: next names another
// director, or another address to listen at, which cannot change without a restart.
func (c *Config) CheckReload(next *Config) error {
	switch {
	case next.Name != c.Name:
		return keyErrorf("name", "is %q, but the name of this director is %q", next.Name, c.Name)
	case next.ListenAddress != c.ListenAddress:
		return keyErrorf("listen", "cannot change from %q to %q without a restart", c.ListenAddress, next.ListenAddress)
	}
	return nil
}
