package procconf

import (
	"crypto/ed25519"
	"encoding/hex"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/claim"
	"graniteknot.org/go/fold"
	"graniteknot.org/go/internal/inifile"
	"graniteknot.org/go/internal/wholefile"
	"graniteknot.org/go/member"
)

// TargetKind tells what stands behind an agent.
type TargetKind string

// The kinds of targets.
const (
	TargetEngine TargetKind = "engine"
	TargetPlain  TargetKind = "plain"
)

// Config is the settings of one process.
type Config struct {
	Role    member.Role
	Box     graniteknot.BoxName
	Partner graniteknot.Partner
	Zone    graniteknot.AvailabilityZone
	// Listen is the one address that the process serves on.
	Listen graniteknot.Address
	// Log and Boxes are the platform's services; Boxes may be empty.
	Log   graniteknot.Address
	Boxes graniteknot.Address
	// Seeds are peers to ask first.
	Seeds []graniteknot.Address
	Trust fold.TrustStore
	// Target, TargetKind and Slots are set for agents.
	Target     graniteknot.Address
	TargetKind TargetKind
	Slots      int
	// StopBound ends a planned stop that takes too long.
	StopBound time.Duration
	// ClaimWindow is how long an agent remembers keys, and how long a new agent
	// answers unknown for keys that carry no time. It is fixed for the life of
	// a process: a window that grew would cover keys forgotten already.
	ClaimWindow time.Duration
	// SnapshotEvery is how many records of the settings stream may stand after
	// the newest snapshot.
	SnapshotEvery int64
}

// Load reads a file that nobody is writing. All faults are reported at once.
func Load(path string) (*Config, error) {
	text, err := wholefile.ReadAtStart(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return Parse(path, text)
}

// Parse reads a file's text. The error is of type inifile.Faults.
func Parse(name string, text []byte) (*Config, error) {
	file, err := inifile.Parse(name, text)
	if err != nil {
		return nil, err
	}
	c := &Config{StopBound: time.Minute, ClaimWindow: claim.DefaultWindow, Slots: 16, SnapshotEvery: 1000, TargetKind: TargetEngine}
	p := &parser{file: file, config: c, seen: map[string]bool{}}
	for i := range file.Sections {
		p.section(&file.Sections[i])
	}
	p.required()
	return c, p.faults.Err()
}

// parser collects a config and its faults.
type parser struct {
	file   *inifile.File
	config *Config
	faults inifile.Faults
	seen   map[string]bool
}

// setter stores a value, or says what was expected.
type setter func(c *Config, value string) (expected string)

// known lists the keys of each section but [trust].
func known(section, key string) setter {
	switch section + "." + key {
	case "process.role":
		return setRole
	case "process.box":
		return func(c *Config, v string) string { c.Box = graniteknot.BoxName(v); return nonEmpty(v) }
	case "process.partner":
		return func(c *Config, v string) string { c.Partner = graniteknot.Partner(v); return nonEmpty(v) }
	case "process.zone":
		return func(c *Config, v string) string { c.Zone = graniteknot.AvailabilityZone(v); return nonEmpty(v) }
	case "process.listen":
		return func(c *Config, v string) string { return setAddress(&c.Listen, v) }
	case "process.stop_bound":
		return func(c *Config, v string) string { return setDuration(&c.StopBound, v) }
	case "process.claim_window":
		return func(c *Config, v string) string { return setDuration(&c.ClaimWindow, v) }
	case "platform.log":
		return func(c *Config, v string) string { return setAddress(&c.Log, v) }
	case "platform.boxes":
		return func(c *Config, v string) string { return setAddress(&c.Boxes, v) }
	case "platform.snapshot_every":
		return func(c *Config, v string) string { return setCount(&c.SnapshotEvery, v, 1, 1_000_000) }
	case "peers.seeds":
		return setSeeds
	case "target.address":
		return func(c *Config, v string) string { return setAddress(&c.Target, v) }
	case "target.kind":
		return setKind
	case "target.slots":
		return setSlots
	}
	return nil
}

func (p *parser) section(s *inifile.Section) {
	if !slices.Contains([]string{"process", "platform", "peers", "target", "trust"}, s.Name) {
		p.fault(s, inifile.Entry{Line: s.Line}, "[process], [platform], [peers], [target] or [trust]")
		return
	}
	for _, e := range s.Entries {
		p.seen[s.Name+"."+e.Key] = true
		if s.Name == "trust" {
			p.trust(s, e)
			continue
		}
		set := known(s.Name, e.Key)
		if set == nil {
			p.fault(s, e, "a known key")
			continue
		}
		if expected := set(p.config, e.Value); expected != "" {
			p.fault(s, e, expected)
		}
	}
}

func (p *parser) trust(s *inifile.Section, e inifile.Entry) {
	key, err := hex.DecodeString(e.Value)
	if err != nil || len(key) != ed25519.PublicKeySize {
		p.fault(s, e, "a partner's public key, 64 hexadecimal digits")
		return
	}
	p.seen["trust"] = true
	p.config.Trust.Add(graniteknot.Partner(e.Key), key)
}

// required names what every process needs and what its role needs.
func (p *parser) required() {
	need := []string{"process.role", "process.box", "process.partner", "process.zone", "process.listen", "platform.log"}
	if p.config.Role == member.RoleAgent {
		need = append(need, "target.address")
	}
	for _, name := range need {
		section, key, _ := strings.Cut(name, ".")
		if !p.seen[name] {
			p.faults = append(p.faults, inifile.Fault{
				File: p.file.Name, Line: 1, Section: section, Key: key, Expected: "this key to be set",
			})
		}
	}
	if !p.seen["trust"] {
		p.faults = append(p.faults, inifile.Fault{
			File: p.file.Name, Line: 1, Section: "trust", Expected: "PARTNER = public key, for each partner",
		})
	}
}

func (p *parser) fault(s *inifile.Section, e inifile.Entry, expected string) {
	p.faults = append(p.faults, inifile.Fault{
		File: p.file.Name, Line: e.Line, Section: s.Name, Key: e.Key, Expected: expected,
	})
}

func nonEmpty(v string) string {
	if v == "" {
		return "a name"
	}
	return ""
}

func setRole(c *Config, v string) string {
	c.Role = member.Role(v)
	if c.Role != member.RoleEntry && c.Role != member.RoleAgent {
		return fmt.Sprintf("entry or agent, got %q", v)
	}
	return ""
}

func setKind(c *Config, v string) string {
	c.TargetKind = TargetKind(v)
	if c.TargetKind != TargetEngine && c.TargetKind != TargetPlain {
		return fmt.Sprintf("engine or plain, got %q", v)
	}
	return ""
}

func setAddress(a *graniteknot.Address, v string) string {
	if _, err := netip.ParseAddrPort(v); err != nil {
		return fmt.Sprintf("IP:PORT, got %q", v)
	}
	*a = graniteknot.Address(v)
	return ""
}

func setSeeds(c *Config, v string) string {
	for item := range strings.SplitSeq(v, ",") {
		var a graniteknot.Address
		if expected := setAddress(&a, strings.TrimSpace(item)); expected != "" {
			return expected
		}
		c.Seeds = append(c.Seeds, a)
	}
	return ""
}

func setCount(n *int64, v string, low, high int64) string {
	got, err := strconv.ParseInt(v, 10, 64)
	if err != nil || got < low || got > high {
		return fmt.Sprintf("a whole number from %d to %d, got %q", low, high, v)
	}
	*n = got
	return ""
}

func setSlots(c *Config, v string) string {
	var n int64
	expected := setCount(&n, v, 1, 4096)
	c.Slots = int(n)
	return expected
}

func setDuration(d *time.Duration, v string) string {
	got, err := time.ParseDuration(v)
	if err != nil || got < time.Second || got > 24*time.Hour {
		return fmt.Sprintf("a duration from 1s to 24h, got %q", v)
	}
	*d = got
	return ""
}
