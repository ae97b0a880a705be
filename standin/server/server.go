// Package server serves the platform's stand-ins over HTTP: the log service
// and the node list on one address, each node on an address of its own, and
// the switches for faults beside the log.
package server

import (
	"context"
	"net"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/sourcegraph/conc"

	"quartzshelf.dev/cluster"
	"quartzshelf.dev/common/failure"
	"quartzshelf.dev/standin"
)

// Limits of the servers.
const (
	readLimit   = 1000
	bodyLimit   = 64 << 20
	stopTimeout = 2 * time.Second
)

// Options describes the stand-ins to serve.
type Options struct {
	// Host is the IP number to listen on.
	Host string
	// PlatformPort is the port of log and node list, zero for any free one.
	PlatformPort int
	Log          standin.LogOptions
	Cluster      standin.ClusterOptions
}

// Server serves a log, a node list and a cluster.
type Server struct {
	log     *standin.Log
	cluster *standin.Cluster
	address string
	apps    []*fiber.App
	serving conc.WaitGroup
	done    chan struct{}
}

// New starts serving what opts describes.
func New(opts Options) (*Server, error) {
	s := &Server{log: standin.NewLog(opts.Log), done: make(chan struct{})}
	listeners := make(map[string]net.Listener)
	if err := listenNodes(opts, listeners); err != nil {
		return nil, err
	}
	opts.Cluster.Address = func(id string) string { return listeners[id].Addr().String() }
	s.cluster = standin.NewCluster(opts.Cluster)
	l, err := net.Listen("tcp", net.JoinHostPort(opts.Host, strconv.Itoa(opts.PlatformPort)))
	if err != nil {
		closeAll(listeners)
		return nil, failure.At(failure.Unavailable, "listen for the platform", opts.Host, err)
	}
	s.address = l.Addr().String()
	s.start(l, s.platformApp())
	for _, n := range s.cluster.All() {
		s.start(listeners[n.Listed().ID], nodeApp(n))
	}
	return s, nil
}

func listenNodes(opts Options, listeners map[string]net.Listener) error {
	probe := opts.Cluster
	probe.Address = nil
	for _, n := range standin.NewCluster(probe).All() {
		l, err := net.Listen("tcp", net.JoinHostPort(opts.Host, "0"))
		if err != nil {
			closeAll(listeners)
			return failure.At(failure.Unavailable, "listen for a node", opts.Host, err)
		}
		listeners[n.Listed().ID] = l
	}
	return nil
}

func closeAll(listeners map[string]net.Listener) {
	for _, l := range listeners {
		// The process gives up anyway; an error here would hide the cause.
		_ = l.Close()
	}
}

// Address returns the IP:port of log and node list.
func (s *Server) Address() string { return s.address }

// Cluster returns the nodes that are served.
func (s *Server) Cluster() *standin.Cluster { return s.cluster }

// Log returns the log that is served.
func (s *Server) Log() *standin.Log { return s.log }

// Done is closed when the server has stopped.
func (s *Server) Done() <-chan struct{} { return s.done }

// Stop ends all listeners and waits for the goroutines that serve them.
func (s *Server) Stop() {
	for _, app := range s.apps {
		// A connection that outlives the time limit is cut, as wanted.
		_ = app.ShutdownWithTimeout(stopTimeout)
	}
	s.serving.Wait()
	close(s.done)
}

func (s *Server) start(l net.Listener, app *fiber.App) {
	s.apps = append(s.apps, app)
	s.serving.Go(func() {
		// Listener returns once the app is shut down.
		_ = app.Listener(l)
	})
}

func newApp() *fiber.App {
	return fiber.New(fiber.Config{
		DisableStartupMessage: true,
		// Names from the path are kept as keys, beyond the life of a request.
		Immutable:      true,
		BodyLimit:      bodyLimit,
		ReadBufferSize: 16 << 10,
		ErrorHandler: func(c *fiber.Ctx, err error) error {
			code := fiber.StatusInternalServerError
			if failure.Is(err, failure.Refused) {
				code = fiber.StatusServiceUnavailable
			}
			return c.Status(code).JSON(fiber.Map{"error": err.Error()})
		},
	})
}

type appendBody struct {
	Records []cluster.Record `json:"records"`
}

func (s *Server) platformApp() *fiber.App {
	app := newApp()
	app.Post("/log/:stream", s.postLog)
	app.Get("/log/:stream", s.getLog)
	app.Get("/nodes", func(c *fiber.Ctx) error {
		nodes, err := s.cluster.Nodes(c.Context())
		if err != nil {
			return err
		}
		return c.JSON(fiber.Map{"nodes": nodes})
	})
	app.Post("/faults/log", func(c *fiber.Ctx) error {
		var faults standin.LogFaults
		if err := c.BodyParser(&faults); err != nil {
			return err
		}
		s.log.SetFaults(faults)
		return c.JSON(faults)
	})
	app.Post("/faults/nodes/:id/:fault", s.nodeFault)
	app.Get("/stats", func(c *fiber.Ctx) error {
		return c.JSON(fiber.Map{"appends": s.log.Appends()})
	})
	return app
}

func (s *Server) postLog(c *fiber.Ctx) error {
	var body appendBody
	if err := c.BodyParser(&body); err != nil {
		return err
	}
	first, err := s.log.Append(c.Context(), c.Params("stream"), body.Records)
	if err != nil {
		return err
	}
	return c.JSON(fiber.Map{"first": first})
}

func (s *Server) getLog(c *fiber.Ctx) error {
	wait := time.Duration(c.QueryInt("wait_ms")) * time.Millisecond
	limit := min(c.QueryInt("limit", readLimit), readLimit)
	batch, err := s.log.Read(c.Context(), c.Params("stream"), int64(c.QueryInt("from")), limit, wait)
	if err != nil {
		return err
	}
	return c.JSON(batch)
}

func (s *Server) nodeFault(c *fiber.Ctx) error {
	n, ok := s.cluster.Node(c.Params("id"))
	if !ok {
		return c.Status(fiber.StatusNotFound).JSON(fiber.Map{"error": "no such node"})
	}
	switch c.Params("fault") {
	case "kill":
		n.Kill()
	case "restart":
		n.Restart()
	case "stick":
		n.SetStuck(true)
	case "unstick":
		n.SetStuck(false)
	case "leave":
		n.SetLeaving(true)
	case "stay":
		n.SetLeaving(false)
	default:
		return c.Status(fiber.StatusBadRequest).JSON(fiber.Map{"error": "no such fault"})
	}
	return c.JSON(n.Listed())
}

// withTimeout returns a context for one call to a node.
func withTimeout() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), time.Minute)
}
