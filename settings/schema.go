package settings

import (
	"slices"
	"time"
)

// Key names a setting.
type Key string

// The keys of the schema.
const (
	KeyDeadline       Key = "deadline"
	KeyMaxBody        Key = "max_body_bytes"
	KeyMaxTokens      Key = "max_tokens"
	KeyAddressValid   Key = "address_valid"
	KeyRetryPercent   Key = "retry_percent"
	KeyPercent        Key = "percent"
	KeyWeightSkew     Key = "weight_skew"
	KeyWeightCost     Key = "weight_cost"
	KeyKind           Key = "kind"
	KeyTargets        Key = "targets"
	KeyClaimsAt       Key = "claims_at"
	KeyRepeatable     Key = "repeatable"
	KeyChecksFences   Key = "target_checks_fences"
	KeyKeyHash        Key = "key_sha256"
	KeyServices       Key = "services"
	KeyRequestRate    Key = "requests_per_second"
	KeyTokenRate      Key = "tokens_per_second"
	KeyConcurrent     Key = "concurrent"
	KeyPriority       Key = "priority"
	KeyEntries        Key = "entries"
	KeyVersion        Key = "model_version"
	KeyRollInterval   Key = "roll_interval"
	KeyEvacuated      Key = "evacuated"
	KeyDelete         Key = "delete"
	unlimitedReadable     = "0 for no limit"
)

// Type is how a value is written.
type Type uint8

// The types of values.
const (
	TypeCount Type = iota
	TypeDuration
	TypeBool
	TypeWord
	TypeAddresses
	TypeNames
	TypeHash
)

// Spec describes one key.
type Spec struct {
	Key  Key
	Type Type
	// Unit is the unit that the value is written in; empty for words.
	Unit string
	// Min and Max bound counts as they stand and durations in nanoseconds.
	Min, Max int64
	// Words are the values of TypeWord.
	Words []string
	// Levels are where the key may stand.
	Levels []Level
	// Default is in force when no level sets the key; empty for none.
	Default string
	// Fixed keys keep their first value for ever.
	Fixed bool
	Doc   string
}

func everywhere() []Level { return []Level{LevelRoot, LevelPartner, LevelService, LevelAccount} }

func duration(d time.Duration) int64 { return int64(d) }

// schema is in the order in which values are stored and shown.
var schema = []Spec{
	{
		Key: KeyDeadline, Type: TypeDuration, Unit: "duration", Min: duration(50 * time.Millisecond),
		Max: duration(10 * time.Minute), Levels: everywhere(), Default: "30s",
		Doc: "longest life of a request, from its arrival at the entry",
	},
	{
		Key: KeyMaxBody, Type: TypeCount, Unit: "bytes", Min: 1 << 10, Max: 64 << 20, Levels: everywhere(),
		Default: "1048576", Doc: "largest request body",
	},
	{
		Key: KeyMaxTokens, Type: TypeCount, Unit: "tokens", Min: 1, Max: 65536, Levels: everywhere(),
		Default: "4096", Doc: "most tokens of one answer",
	},
	{
		Key: KeyAddressValid, Type: TypeDuration, Unit: "duration", Min: duration(time.Second),
		Max: duration(5 * time.Minute), Levels: []Level{LevelRoot}, Default: "10s",
		Doc: "how long a caller may keep an address answer",
	},
	{
		Key: KeyRetryPercent, Type: TypeCount, Unit: "percent", Min: 0, Max: 100, Levels: []Level{LevelRoot, LevelPartner},
		Default: "10", Doc: "retries as a share of first attempts",
	},
	{
		Key: KeyPercent, Type: TypeCount, Unit: "percent", Min: 0, Max: 100, Levels: []Level{LevelShare},
		Default: "50", Doc: "the partner's share of each target",
	},
	{
		Key: KeyWeightSkew, Type: TypeCount, Unit: "weight", Min: 0, Max: 1000, Levels: []Level{LevelPartner},
		Default: "10", Doc: "what step-time skew weighs when experts are placed",
	},
	{
		Key: KeyWeightCost, Type: TypeCount, Unit: "weight", Min: 0, Max: 1000, Levels: []Level{LevelPartner},
		Default: "10", Doc: "what moving an expert weighs when experts are placed",
	},
	{
		Key: KeyKind, Type: TypeWord, Words: []string{"model", "plain"}, Levels: []Level{LevelService},
		Default: "model", Doc: "whether targets are model engines or plain services",
	},
	{
		Key: KeyTargets, Type: TypeAddresses, Levels: []Level{LevelService},
		Doc: "addresses of the agents before the service's targets",
	},
	{
		Key: KeyClaimsAt, Type: TypeAddresses, Levels: []Level{LevelService}, Fixed: true,
		Doc: "agents that decide on keys that come without a ticket; can't change once set",
	},
	{
		Key: KeyRepeatable, Type: TypeBool, Levels: []Level{LevelService}, Default: "yes",
		Doc: "whether a request may run more than once when the caller does not say",
	},
	{
		Key: KeyChecksFences, Type: TypeBool, Levels: []Level{LevelService}, Default: "no",
		Doc: "whether the targets themselves check who gives them an order",
	},
	{
		Key: KeyVersion, Type: TypeNames, Levels: []Level{LevelService},
		Doc: "version that the targets load, after their work is drained; nothing is ordered while it is not set",
	},
	{
		Key: KeyRollInterval, Type: TypeDuration, Unit: "duration", Min: 0, Max: duration(time.Hour), Levels: []Level{LevelService},
		Default: "30s", Doc: "time between the four waves in which targets take a new version",
	},
	{
		Key: KeyKeyHash, Type: TypeHash, Levels: []Level{LevelAccount},
		Doc: "SHA-256 of the account's bearer key, in hexadecimal",
	},
	{
		Key: KeyServices, Type: TypeNames, Levels: []Level{LevelPartner, LevelAccount}, Default: "*",
		Doc: "services of the partner that the account may use, * for all",
	},
	{
		Key: KeyRequestRate, Type: TypeCount, Unit: "requests/s", Min: 0, Max: 1 << 20,
		Levels: []Level{LevelPartner, LevelAccount}, Default: "0", Doc: "requests a second over all entries, " + unlimitedReadable,
	},
	{
		Key: KeyTokenRate, Type: TypeCount, Unit: "tokens/s", Min: 0, Max: 1 << 30,
		Levels: []Level{LevelPartner, LevelAccount}, Default: "0", Doc: "tokens a second over all entries, " + unlimitedReadable,
	},
	{
		Key: KeyConcurrent, Type: TypeCount, Unit: "requests", Min: 0, Max: 1 << 16,
		Levels: []Level{LevelPartner, LevelAccount}, Default: "0", Doc: "requests at once at one entry, " + unlimitedReadable,
	},
	{
		Key: KeyPriority, Type: TypeWord, Words: []string{"normal", "urgent"},
		Levels: []Level{LevelPartner, LevelService, LevelAccount}, Default: "normal",
		Doc: "urgent requests go first within their partner",
	},
	{
		Key: KeyEntries, Type: TypeCount, Unit: "boxes", Min: 1, Max: 256, Levels: []Level{LevelPartner}, Default: "6",
		Doc: "entry boxes that the partner has; limits are shared out by it",
	},
	{
		Key: KeyEvacuated, Type: TypeBool, Levels: []Level{LevelZone}, Default: "no",
		Doc: "whether the partner's entries send no new work to targets in the availability zone",
	},
	{
		Key: KeyDelete, Type: TypeBool, Levels: []Level{LevelShare, LevelService, LevelAccount, LevelZone},
		Default: "no", Doc: "yes removes the section",
	},
}

// Schema returns a copy of all keys' descriptions.
func Schema() []Spec { return slices.Clone(schema) }

func specOf(key Key) (*Spec, int) {
	for i := range schema {
		if schema[i].Key == key {
			return &schema[i], i
		}
	}
	return nil, -1
}

func (s *Spec) allowed(level Level) bool { return slices.Contains(s.Levels, level) }
