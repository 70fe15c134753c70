package keeloperate

import (
	"context"
	"net/http"
	"net/netip"

	"github.com/gofiber/fiber/v3"
	keel "github.com/greengagekeel/greengagekeel"
)

// Paths of fault injection, which an instance offers only if its settings say
// so.
const (
	PathCut  = "/v1/faults/cut"
	PathHeal = "/v1/faults/heal"
)

// FaultInjector cuts an instance off from others. It is for tests.
type FaultInjector interface {
	// Block drops every packet to and from the addresses.
	Block(addrs ...netip.AddrPort)
	// BlockSend drops every packet to the addresses.
	BlockSend(addrs ...netip.AddrPort)
	// Unblock ends both for the addresses, or for all if none is given.
	Unblock(addrs ...netip.AddrPort)
}

// Cut names the peer ports of other instances.
type Cut struct {
	Addresses []netip.AddrPort `json:"addresses,omitempty"`
	// SendOnly lets what comes from the addresses pass.
	SendOnly bool `json:"send_only,omitempty"`
}

// Check reports addresses that are not valid.
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

// Cut makes the instance drop packets. It must offer fault injection.
func (c *Client) Cut(ctx context.Context, cut Cut) error {
	_, err := c.call(ctx, http.MethodPost, PathCut, &cut, &Cut{})
	return err
}

// Heal ends the cuts at the instance.
func (c *Client) Heal(ctx context.Context) error {
	_, err := c.call(ctx, http.MethodPost, PathHeal, &Cut{}, &Cut{})
	return err
}
