package services

import (
	"context"
	"fmt"
	"net/http"

	graniteknot "graniteknot.org/go"
)

// StateLeaving is the word for a leaving box; any other is a live one.
const StateLeaving = "leaving"

// Box is one line of the answer.
type Box struct {
	Name    graniteknot.BoxName          `json:"name"`
	Zone    graniteknot.AvailabilityZone `json:"availability_zone"`
	State   string                       `json:"state"`
	Address graniteknot.Address          `json:"address"`
}

// BoxList is the platform's list of boxes. Make it with NewBoxList.
type BoxList struct {
	url  string
	http *http.Client
}

// NewBoxList returns the list at an address.
func NewBoxList(a graniteknot.Address) *BoxList {
	return &BoxList{url: "http://" + string(a) + BoxesPath, http: newClient()}
}

// Boxes implements graniteknot.BoxList.
func (b *BoxList) Boxes(ctx context.Context) ([]graniteknot.Box, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, b.url, http.NoBody)
	if err != nil {
		return nil, fmt.Errorf("boxes: %w", err)
	}
	var answer []Box
	if err := do(b.http, request, &answer); err != nil {
		return nil, fmt.Errorf("boxes: %w", err)
	}
	out := make([]graniteknot.Box, len(answer))
	for i, line := range answer {
		out[i] = graniteknot.Box{Name: line.Name, Zone: line.Zone, Address: line.Address}
		if line.State == StateLeaving {
			out[i].State = graniteknot.BoxLeaving
		}
	}
	return out, nil
}
