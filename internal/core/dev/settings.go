package dev

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	graniteknot "graniteknot.org/go"
	"graniteknot.org/go/fold"
	"graniteknot.org/go/internal/core/app"
	"graniteknot.org/go/internal/core/publish"
	"graniteknot.org/go/internal/services"
	"graniteknot.org/go/internal/standin/engine"
	"graniteknot.org/go/internal/wire"
	"graniteknot.org/go/settings"
)

const publishTime = 10 * time.Second

// publishAll publishes the root, with both partners' consent, and the branches.
func (c *Cluster) publishAll(ctx context.Context) error {
	for _, p := range c.Partners {
		if _, err := c.Publish(ctx, p, settings.Root, c.rootText()); err != nil {
			return err
		}
	}
	for _, p := range c.Partners {
		if _, err := c.Publish(ctx, p, settings.Branch(p.Name), c.branchText(p)); err != nil {
			return err
		}
	}
	return nil
}

// Publish publishes a change of a branch in a partner's name.
func (c *Cluster) Publish(ctx context.Context, p *Partner, b settings.Branch, text string) (publish.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, publishTime)
	defer cancel()
	trust := &fold.TrustStore{}
	for _, each := range c.Partners {
		trust.Add(each.Name, each.Public)
	}
	publisher := &publish.Publisher{Log: services.NewLog(c.logAt), Trust: trust, Partner: p.Name, Key: p.Private}
	change := &wire.Change{
		Id: fmt.Sprintf("%s-%d", p.Name, time.Now().UnixNano()), Branch: string(b), Against: int64(publish.Current), Text: text,
	}
	answer, err := publisher.Publish(ctx, change)
	if err == nil && answer.Fate == fold.StatusRefused {
		err = fmt.Errorf("publish %s: %s", b, answer.Reason)
	}
	return answer, err
}

// PublishVersion orders a version of a partner's model for all its targets.
func (c *Cluster) PublishVersion(ctx context.Context, p *Partner, version string) (publish.Answer, error) {
	text := fmt.Sprintf("[service %s]\nkind = model\ntargets = %s\ntarget_checks_fences = yes\nroll_interval = 500ms\nmodel_version = %s\n",
		p.Model, addressesOf(c.Model), version)
	return c.Publish(ctx, p, settings.Branch(p.Name), text)
}

// EnginesHave tells whether every engine was ordered a version.
func (c *Cluster) EnginesHave(version string) bool {
	return !slices.ContainsFunc(c.engines, func(e *engine.Engine) bool {
		return e.Ordered(graniteknot.OrderLoad) != version
	})
}

func (c *Cluster) rootText() string {
	var b strings.Builder
	fmt.Fprintf(&b, "[root]\naddress_valid = %s\ndeadline = 20s\n", c.options.AddressValid)
	for _, p := range c.Partners {
		fmt.Fprintf(&b, "[share %s]\npercent = %d\n", p.Name, 100/len(c.Partners))
	}
	return b.String()
}

func (c *Cluster) branchText(p *Partner) string {
	var b strings.Builder
	b.WriteString("[partner]\n" + partnerWeights(p) + "\n")
	fmt.Fprintf(&b, "[service %s]\nkind = model\ntargets = %s\n", p.Model, addressesOf(c.Model))
	plainAt := addressesOf(p.Plain)
	fmt.Fprintf(&b, "[service %s]\nkind = plain\nrepeatable = no\ntargets = %s\nclaims_at = %s\n", p.PlainOf, plainAt, plainAt)
	for i, key := range p.Keys {
		fmt.Fprintf(&b, "[account %s-%02d]\nkey_sha256 = %s\n", p.Name, i+1, settings.HashKey(key))
	}
	return b.String()
}

// partnerWeights is what each partner weighs more, from the brief.
func partnerWeights(p *Partner) string {
	if p.Name == Herbarium {
		return "weight_skew = 10\nweight_cost = 30\n"
	}
	return "weight_skew = 30\nweight_cost = 10\npriority = urgent\n"
}

func addressesOf(processes []*app.Process) string {
	out := make([]string, len(processes))
	for i, p := range processes {
		out[i] = string(p.Config.Listen)
	}
	return strings.Join(out, ", ")
}
