package keelendpoint

import (
	"github.com/go-faster/errors"
	"github.com/gofiber/fiber/v3"
	keel "github.com/greengagekeel/greengagekeel"
)

// Paths of the endpoint port.
const (
	AnnouncePath = "/v1/endpoints/announce"
	LeavePath    = "/v1/endpoints/leave"
)

// maxAnnouncementBytes bounds the body of an announcement.
const maxAnnouncementBytes = 64 << 10

// problem is the JSON body of an answer that refuses an announcement.
type problem struct {
	Faults keel.Faults `json:"faults"`
}

// accepted is the JSON body of an answer that takes an announcement.
type accepted struct {
	RenewWithin keel.Duration `json:"renew_within"`
}

// NewApp returns the HTTP server of the endpoint port. onRefused is told the
// faults of every call that is refused.
func NewApp(s *Service, onRefused func(keel.Faults)) *fiber.App {
	h := &handler{service: s, onRefused: onRefused}
	app := fiber.New(fiber.Config{BodyLimit: maxAnnouncementBytes, ErrorHandler: h.fail})
	app.Post(AnnouncePath, h.announce)
	app.Post(LeavePath, h.leave)
	return app
}

type handler struct {
	service   *Service
	onRefused func(keel.Faults)
}

func (h *handler) announce(c fiber.Ctx) error { return h.take(c, false) }

func (h *handler) leave(c fiber.Ctx) error { return h.take(c, true) }

func (h *handler) take(c fiber.Ctx, leave bool) error {
	var a keel.Announcement
	if err := keel.DecodeJSON(c.Body(), &a); err != nil {
		return h.refuse(c, fiber.StatusBadRequest, asFaults(err))
	}
	if leave {
		a.State = keel.EndpointLeaving
	}
	if fs := h.service.Announce(a); len(fs) > 0 {
		return h.refuse(c, statusOf(fs), fs)
	}
	return c.JSON(accepted{RenewWithin: a.TTL})
}

func (h *handler) refuse(c fiber.Ctx, status int, fs keel.Faults) error {
	h.onRefused(fs)
	return c.Status(status).JSON(problem{Faults: fs})
}

// statusOf returns the status of a well-formed announcement that is refused: 409
// for an old incarnation and 400 for everything else.
func statusOf(fs keel.Faults) int {
	if len(fs) == 1 && fs[0].Field == "incarnation" {
		return fiber.StatusConflict
	}
	return fiber.StatusBadRequest
}

func asFaults(err error) keel.Faults {
	var fs keel.Faults
	if errors.As(err, &fs) {
		return fs
	}
	return keel.Faults{{Field: "$", Reason: err.Error()}}
}

func (h *handler) fail(c fiber.Ctx, err error) error {
	status := fiber.StatusInternalServerError
	var fe *fiber.Error
	if errors.As(err, &fe) {
		status = fe.Code
	}
	return h.refuse(c, status, asFaults(err))
}
