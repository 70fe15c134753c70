package keelendpoint

import (
	"github.com/go-faster/errors"
	"github.com/gofiber/fiber/v3"
	keel "github.com/greengagekeel/greengagekeel"
)

// Paths on the endpoint port.
const (
	AnnouncePath = "/v1/endpoints/announce"
	LeavePath    = "/v1/endpoints/leave"
)

// maxAnnouncementBytes limits the body of an announcement.
const maxAnnouncementBytes = 64 << 10

// refusalBody is the JSON body of the answer to a refused announcement.
type refusalBody struct {
	Faults keel.Faults `json:"faults"`
}

// acceptedBody is the JSON body of the answer to an accepted announcement.
type acceptedBody struct {
	RenewWithin keel.Duration `json:"renew_within"`
}

// NewApp returns the HTTP server of the endpoint port. onRefused is called with
// the faults of each refused request.
func NewApp(s *Service, onRefused func(keel.Faults)) *fiber.App {
	h := &handler{service: s, onRefused: onRefused}
	app := fiber.New(fiber.Config{BodyLimit: maxAnnouncementBytes, ErrorHandler: h.handleError})
	app.Post(AnnouncePath, h.announce)
	app.Post(LeavePath, h.leave)
	return app
}

type handler struct {
	service   *Service
	onRefused func(keel.Faults)
}

func (h *handler) announce(c fiber.Ctx) error { return h.handle(c, false) }

func (h *handler) leave(c fiber.Ctx) error { return h.handle(c, true) }

func (h *handler) handle(c fiber.Ctx, leave bool) error {
	var a keel.Announcement
	if err := keel.DecodeJSON(c.Body(), &a); err != nil {
		return h.refuse(c, fiber.StatusBadRequest, faultsOf(err))
	}
	if leave {
		a.State = keel.EndpointLeaving
	}
	if fs := h.service.Announce(a); len(fs) > 0 {
		return h.refuse(c, statusOf(fs), fs)
	}
	return c.JSON(acceptedBody{RenewWithin: a.TTL})
}

func (h *handler) refuse(c fiber.Ctx, status int, fs keel.Faults) error {
	h.onRefused(fs)
	return c.Status(status).JSON(refusalBody{Faults: fs})
}

// statusOf returns the HTTP status for a well-formed announcement that is
// refused: 409 for an old incarnation, otherwise 400.
func statusOf(fs keel.Faults) int {
	if len(fs) == 1 && fs[0].Field == "incarnation" {
		return fiber.StatusConflict
	}
	return fiber.StatusBadRequest
}

func faultsOf(err error) keel.Faults {
	var fs keel.Faults
	if errors.As(err, &fs) {
		return fs
	}
	return keel.Faults{{Field: "$", Reason: err.Error()}}
}

func (h *handler) handleError(c fiber.Ctx, err error) error {
	status := fiber.StatusInternalServerError
	var fe *fiber.Error
	if errors.As(err, &fe) {
		status = fe.Code
	}
	return h.refuse(c, status, faultsOf(err))
}
