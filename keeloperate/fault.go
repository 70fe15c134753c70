package keeloperate

import (
	"context"
	"net/http"
	"net/netip"

	"github.com/gofiber/fiber/v3"
	keel "github.com/greengagekeel/greengagekeel"
)

// Paths of fault injection. They exist only if the settings of the instance
// enable it.
const (
	PathCut  = "/v1/faults/cut"
	PathHeal = "/v1/faults/heal"
)

// FaultInjector cuts an instance off from others, for tests.
type FaultInjector interface {
	// Block drops every packet to and from the addresses.
	Block(addrs ...netip.AddrPort)
	// BlockSend drops every packet to the addresses.
	BlockSend(addrs ...netip.AddrPort)
	// Unblock undoes Block and BlockSend for the addresses, or for all addresses
	// if none is given.
	Unblock(addrs ...netip.AddrPort)
}

// Cut names the peer addresses of other instances to cut the instance off from.
type Cut struct {
	Addresses []netip.AddrPort `json:"addresses,omitempty"`
	// SendOnly drops only packets to the addresses, not those from them.
	SendOnly bool `json:"send_only,omitempty"`
}

// Check returns a fault for each invalid address.
func (c *Cut) Check() keel.Faults {
	var fs keel.Faults
	for _, a := range c.Addresses {
		if !a.IsValid() {
			fs.Add("addresses", "must hold IP addresses with ports")
		}
	}
	return fs
}

func (h *handlers) cut(c fiber.Ctx) error {
	var cut Cut
	if err := keel.DecodeJSON(c.Body(), &cut); err != nil {
		return err
	}
	if cut.SendOnly {
		h.cfg.Faults.BlockSend(cut.Addresses...)
	} else {
		h.cfg.Faults.Block(cut.Addresses...)
	}
	return c.JSON(cut)
}

func (h *handlers) heal(c fiber.Ctx) error {
	var cut Cut
	if err := keel.DecodeJSON(c.Body(), &cut); err != nil {
		return err
	}
	h.cfg.Faults.Unblock(cut.Addresses...)
	return c.JSON(cut)
}

// Cut makes the instance drop packets to and from others. Fault injection must
// be enabled at the instance.
func (c *Client) Cut(ctx context.Context, cut Cut) error {
	_, err := c.call(ctx, http.MethodPost, PathCut, &cut, &Cut{})
	return err
}

// Heal undoes all cuts at the instance.
func (c *Client) Heal(ctx context.Context) error {
	_, err := c.call(ctx, http.MethodPost, PathHeal, &Cut{}, &Cut{})
	return err
}
