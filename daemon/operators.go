package daemon

import (
	"context"
	_ "embed"
	"errors"
	"net/http"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/gofiber/fiber/v2/middleware/adaptor"
	"k8s.io/apimachinery/pkg/labels"

	"quartzshelf.dev/common/failure"
	"quartzshelf.dev/common/reason"
	"quartzshelf.dev/config"
)

// applyTimeout bounds the publication of a change set.
const applyTimeout = 8 * time.Second

//go:embed dashboard.html
var dashboardHTML string

// operatorServer serves the HTTP API for operators.
type operatorServer struct {
	daemon *Daemon
	app    *fiber.App
}

func newOperatorServer(d *Daemon) *operatorServer {
	o := &operatorServer{daemon: d}
	app := fiber.New(fiber.Config{
		DisableStartupMessage: true,
		// Path parameters are used as record ids, which are kept after the request.
		Immutable:    true,
		ErrorHandler: writeError,
	})
	app.Get("/healthz", func(c *fiber.Ctx) error { return c.SendString("ok\n") })
	app.Get("/readyz", o.serveReady)
	app.Get("/metrics", adaptor.HTTPHandler(d.meter.Handler()))
	app.Get("/", func(c *fiber.Ctx) error {
		c.Set(fiber.HeaderContentType, fiber.MIMETextHTMLCharsetUTF8)
		return c.SendString(dashboardHTML)
	})
	app.Get("/api/objects", o.listObjects)
	app.Get("/api/history", func(c *fiber.Ctx) error { return c.JSON(d.configState.History()) })
	app.Get("/api/status", func(c *fiber.Ctx) error { return c.JSON(d.status()) })
	app.Get("/api/halls", func(c *fiber.Ctx) error { return c.JSON(d.hallWatch.Statuses(time.Now())) })
	app.Get("/api/quarantine", o.listQuarantined)
	app.Delete("/api/quarantine/:fingerprint", o.liftQuarantine)
	app.Get("/api/explain/:kind/*", o.explainSubject)
	app.Post("/api/changes/:id", o.publishChange)
	app.Get("/api/changes/:id", o.getVerdict)
	o.app = app
	return o
}

// errorReply is the JSON body of an error answer to an operator.
type errorReply struct {
	Error string `json:"error"`
	Step  string `json:"step,omitempty"`
	Peer  string `json:"peer,omitempty"`
	// IsSettled is set if the action is known not to have taken effect.
	IsSettled bool `json:"settled"`
}

func writeError(c *fiber.Ctx, err error) error {
	code, isSettled := http.StatusInternalServerError, false
	var f *fiber.Error
	switch {
	case errors.As(err, &f):
		code, isSettled = f.Code, true
	case failure.Is(err, failure.Refused):
		code, isSettled = http.StatusServiceUnavailable, true
	case failure.Is(err, failure.Invalid):
		code, isSettled = http.StatusUnprocessableEntity, true
	case failure.Is(err, failure.Unavailable):
		code = http.StatusServiceUnavailable
	}
	return c.Status(code).JSON(errorReply{
		Error: err.Error(), Step: failure.Step(err), Peer: failure.Peer(err), IsSettled: isSettled,
	})
}

func (o *operatorServer) serveReady(c *fiber.Ctx) error {
	if closed := o.daemon.readiness.checkReady(); closed != nil {
		return c.Status(http.StatusServiceUnavailable).SendString(string(closed.Reason) + ": " + closed.Message + "\n")
	}
	return c.SendString("ready\n")
}

// ObjectRow is an object of the configuration with its revision.
type ObjectRow struct {
	config.Document
	Revision int64 `json:"revision"`
}

func (o *operatorServer) listObjects(c *fiber.Ctx) error {
	selector, err := labels.Parse(c.Query("selector"))
	if err != nil {
		return fiber.NewError(http.StatusBadRequest, "bad selector: "+err.Error())
	}
	kind, name := c.Query("kind"), c.Query("name")
	rows := []ObjectRow{}
	for _, object := range o.daemon.configState.View().Objects() {
		d := object.Document()
		if (kind != "" && kind != string(d.Kind)) || (name != "" && name != d.Name) {
			continue
		}
		if selector.Matches(labels.Set(d.Labels)) {
			rows = append(rows, ObjectRow{Document: d, Revision: object.Revision()})
		}
	}
	return c.JSON(rows)
}

// ChangeReply is the answer to a change set.
type ChangeReply struct {
	Verdict  config.Verdict `json:"verdict"`
	Warnings []string       `json:"warnings"`
}

// publishChange publishes a change set. It refuses while more than half of the daemons are out of
// reach. Those daemons might continue without the change.
func (o *operatorServer) publishChange(c *fiber.Ctx) error {
	var set config.ChangeSet
	if err := c.BodyParser(&set); err != nil {
		return fiber.NewError(http.StatusBadRequest, "not a change set: "+err.Error())
	}
	if closed := o.daemon.readiness.checkMayPublish(); closed != nil {
		return failure.New(failure.Refused, "publish configuration", o.daemon.settings.Name, "%s", closed.Message)
	}
	ctx, cancel := context.WithTimeout(context.Background(), applyTimeout)
	defer cancel()
	verdict, err := o.daemon.publish(ctx, c.Params("id"), set)
	if err != nil {
		return err
	}
	if !verdict.Accepted {
		o.daemon.meter.CountRefusal(reason.ConfigurationClash)
	}
	return c.JSON(ChangeReply{Verdict: verdict, Warnings: o.daemon.warnings()})
}

func (o *operatorServer) getVerdict(c *fiber.Ctx) error {
	verdict, ok := o.daemon.findVerdict(c.Params("id"))
	if !ok {
		return fiber.NewError(http.StatusNotFound, "no such change set is folded here")
	}
	return c.JSON(ChangeReply{Verdict: verdict, Warnings: o.daemon.warnings()})
}

func (o *operatorServer) explainSubject(c *fiber.Ctx) error {
	kind, name := c.Params("kind"), c.Params("*")
	explanation, ok := o.daemon.explain(kind, name)
	if !ok {
		return fiber.NewError(http.StatusNotFound, "nothing is known here of "+kind+" "+name)
	}
	return c.JSON(explanation)
}
