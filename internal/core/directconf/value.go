package directconf

import (
	"fmt"
	"net/netip"
	"strconv"
	"time"

	graniteknot "graniteknot.org/go"
)

// longestDuration bounds every duration in the settings.
const longestDuration = 24 * time.Hour

func setRole(c *Config, v string) string {
	c.Role = Role(v)
	if c.Role != RoleGateway && c.Role != RoleSidecar {
		return fmt.Sprintf("gateway or sidecar, got %q", v)
	}
	return ""
}

func setName[T ~string](to *T, v string) string {
	*to = T(v)
	return ""
}

func setAddress(to *graniteknot.Address, v string) string {
	if _, err := netip.ParseAddrPort(v); err != nil {
		return fmt.Sprintf("IP:PORT, got %q", v)
	}
	*to = graniteknot.Address(v)
	return ""
}

func setDuration(to *time.Duration, v string) string {
	got, err := time.ParseDuration(v)
	if err != nil || got < 0 || got > longestDuration {
		return fmt.Sprintf("a duration from 0s to 24h, got %q", v)
	}
	*to = got
	return ""
}

func setNumber(to *float64, v string) string {
	got, err := strconv.ParseFloat(v, 64)
	if err != nil || got < 0 {
		return fmt.Sprintf("a number that is not negative, got %q", v)
	}
	*to = got
	return ""
}

func setStrict(c *Config, v string) string {
	var strict bool
	expected := setBool(&strict, v)
	c.KeysUnproved = expected == "" && !strict
	return expected
}

func setBool(to *bool, v string) string {
	got, err := strconv.ParseBool(v)
	if err != nil {
		return fmt.Sprintf("true or false, got %q", v)
	}
	*to = got
	return ""
}
