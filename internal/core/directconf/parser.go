package directconf

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/catalog"
	"graniteknot.org/go/internal/core/conns"
	"graniteknot.org/go/internal/inifile"
)

// parser collects a config and its faults.
type parser struct {
	file   *inifile.File
	config *Config
	faults inifile.Faults
	// seen holds the "section.key" that have a value.
	seen map[string]bool
}

// setter stores a value, or says what was expected.
type setter func(c *Config, value string) (expected string)

// setters lists every key as "section.key".
var setters = map[string]setter{
	"process.role":          setRole,
	"process.box":           func(c *Config, v string) string { return setName(&c.Box, v) },
	"process.zone":          func(c *Config, v string) string { return setName(&c.Zone, v) },
	"process.region":        func(c *Config, v string) string { c.Region = v; return "" },
	"process.memory_mb":     setMemory,
	"process.link_mbps":     setLink,
	"process.stop_bound":    func(c *Config, v string) string { return setDuration(&c.Stop, v) },
	"listen.requests":       func(c *Config, v string) string { return setAddress(&c.Requests, v) },
	"listen.readiness":      func(c *Config, v string) string { return setAddress(&c.Readiness, v) },
	"listen.directory":      func(c *Config, v string) string { return setAddress(&c.Directory, v) },
	"listen.peers":          func(c *Config, v string) string { return setAddress(&c.Peers, v) },
	"listen.metrics":        func(c *Config, v string) string { return setAddress(&c.Metrics, v) },
	"store.address":         func(c *Config, v string) string { return setAddress(&c.Store, v) },
	"store.readers":         setReaders,
	"target.address":        func(c *Config, v string) string { return setAddress(&c.Target, v) },
	"target.service":        func(c *Config, v string) string { return setName(&c.TargetService, v) },
	"bounds.key_age":        func(c *Config, v string) string { return setDuration(&c.KeyAge, v) },
	"bounds.keys_strict":    setStrict,
	"bounds.drain":          func(c *Config, v string) string { return setDuration(&c.Drain, v) },
	"bounds.answer_life":    func(c *Config, v string) string { return setDuration(&c.AnswerLife, v) },
	"bounds.fences_checked": func(c *Config, v string) string { return setBool(&c.FencesChecked, v) },
	"gateway.slow_peers":    setSlowPeers,
	"gateway.max_head_kb":   setMaxHead,
	"gateway.contracts":     setContracts,
	"gateway.zones":         setZones,
	"retries.share":         setShare,
	"retries.extra":         setExtra,
}

func (p *parser) section(s *inifile.Section) {
	for _, e := range s.Entries {
		set := setters[s.Name+"."+e.Key]
		if set == nil {
			p.fault(s.Name, e.Key, e.Line, "a known key; see graniteknot gateway --help")
			continue
		}
		if e.Value == "" {
			// Settings that a box lacks are left empty by what fills the file.
			continue
		}
		p.seen[s.Name+"."+e.Key] = true
		if expected := set(p.config, e.Value); expected != "" {
			p.fault(s.Name, e.Key, e.Line, expected)
		}
	}
}

// required names what every process needs and what its role needs.
func (p *parser) required() {
	need := []string{"process.role", "process.box", "process.zone", "listen.peers", "store.address"}
	switch p.config.Role {
	case RoleGateway:
		need = append(need, "listen.requests", "listen.readiness", "listen.directory")
	case RoleSidecar:
		need = append(need, "target.address")
	}
	for _, name := range need {
		if !p.seen[name] {
			section, key, _ := strings.Cut(name, ".")
			p.fault(section, key, 1, "this key to be set")
		}
	}
}

func (p *parser) fault(section, key string, line int, expected string) {
	p.faults = append(p.faults, inifile.Fault{File: p.file.Name, Line: line, Section: section, Key: key, Expected: expected})
}

const megabyte = 1 << 20

func setMemory(c *Config, v string) string {
	var n float64
	expected := setNumber(&n, v)
	c.Memory = graniteknot.Bytes(n * megabyte)
	return expected
}

const (
	kilobyte = 1 << 10
	// longestHead bounds the bound of heads, of which one is held for each request at most.
	longestHead = 1 << 20
)

func setMaxHead(c *Config, v string) string {
	n, err := strconv.Atoi(v)
	if err != nil || n < conns.MinMaxHead/kilobyte || n > longestHead/kilobyte {
		return fmt.Sprintf("a whole number of KiB from %d to %d, got %q", conns.MinMaxHead/kilobyte, longestHead/kilobyte, v)
	}
	c.MaxResponseHead = graniteknot.Bytes(n * kilobyte)
	return ""
}

func setLink(c *Config, v string) string {
	const bytes = 1e6 / 8
	expected := setNumber(&c.Link, v)
	c.Link *= bytes
	return expected
}

func setShare(c *Config, v string) string {
	const percent = 100
	expected := setNumber(&c.RetryPercent, v)
	c.RetryPercent *= percent
	return expected
}

func setReaders(c *Config, v string) string {
	n, err := strconv.Atoi(v)
	if err != nil || n < 0 {
		return fmt.Sprintf("a whole number that is not negative, got %q", v)
	}
	c.Readers = n
	return ""
}

func setExtra(c *Config, v string) string { return setNumber(&c.RetryExtra, v) }

func setSlowPeers(c *Config, v string) string {
	slow := false
	expected := setBool(&slow, v)
	c.SlowPeers = c.SlowPeers || slow
	return expected
}

// contractPressure names the promise of a deployment that holds where peers are slow to read.
const contractPressure = "pressure"

// setContracts reads the deployment's promises, of which one concerns the product.
func setContracts(c *Config, v string) string {
	c.SlowPeers = c.SlowPeers || slices.Contains(words(v), contractPressure)
	return ""
}

// words splits a list. Whatever fills the file may write it as JSON or as plain text.
func words(v string) []string {
	return strings.FieldsFunc(v, func(r rune) bool { return strings.ContainsRune(`[]{}"', `, r) })
}

// setZones reads the regions of zones, as pairs with a colon or an equals sign between.
func setZones(c *Config, v string) string {
	separate := func(r rune) bool { return strings.ContainsRune(`[]{}"',:= `, r) }
	list := strings.FieldsFunc(v, separate)
	if len(list)%2 != 0 {
		return fmt.Sprintf("pairs of a zone and its region, got %q", v)
	}
	for i := 0; i < len(list); i += 2 {
		c.Zones = c.Zones.Add(graniteknot.AvailabilityZone(list[i]), catalog.Region(list[i+1]))
	}
	return ""
}
