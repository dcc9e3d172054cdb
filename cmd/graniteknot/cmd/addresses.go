package cmd

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/alecthomas/kingpin/v2"

	"graniteknot.org/go/internal/strict"
)

func registerAddresses(app *kingpin.Application, commands registry) {
	c := app.Command("addresses", "Ask an entry which entries to use for a service, as callers do.")
	entry := c.Flag("entry", "IP:PORT of any entry.").Required().String()
	key := c.Flag("key", "Bearer key of a client account.").Required().String()
	service := c.Flag("service", "Name of the service.").Required().String()
	commands[c.FullCommand()] = func(ctx context.Context, o console) error {
		return printAddresses(ctx, o, *entry, *key, *service)
	}
}

func printAddresses(ctx context.Context, o console, entry, key, service string) error {
	address := "http://" + entry + "/v1/addresses?service=" + url.QueryEscape(service)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, http.NoBody)
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+key)
	client := http.Client{Transport: &strict.Transport{}}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(o.out, response.Body); err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("the entry answered %s", response.Status)
	}
	return nil
}
