// Package server serves the simulations of package standin over HTTP. The log service, the node
// list and the control of faults share one address. Each node has its own address.
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
	maxRecordsPerRead = 1000
	maxBodyBytes      = 64 << 20
	stopTimeout       = 2 * time.Second
)

// Options configures a Server.
type Options struct {
	// Host is the IP address to listen on.
	Host string
	// PlatformPort is the port of the log and the node list. Zero selects a free port.
	PlatformPort int
	Log          standin.LogOptions
	Cluster      standin.ClusterOptions
}

// Server serves a simulated log, node list and cluster over HTTP.
type Server struct {
	log        *standin.Log
	cluster    *standin.Cluster
	address    string
	apps       []*fiber.App
	serveGroup conc.WaitGroup
	done       chan struct{}
}

// New creates a log and a cluster as configured in opts and starts serving them.
func New(opts Options) (*Server, error) {
	s := &Server{log: standin.NewLog(opts.Log), done: make(chan struct{})}
	listeners := make(map[string]net.Listener)
	if err := openNodeListeners(opts, listeners); err != nil {
		return nil, err
	}
	opts.Cluster.Address = func(id string) string { return listeners[id].Addr().String() }
	s.cluster = standin.NewCluster(opts.Cluster)
	l, err := net.Listen("tcp", net.JoinHostPort(opts.Host, strconv.Itoa(opts.PlatformPort)))
	if err != nil {
		closeListeners(listeners)
		return nil, failure.Wrap(failure.Unavailable, "listen for the platform", opts.Host, err)
	}
	s.address = l.Addr().String()
	s.serve(l, s.newPlatformApp())
	for _, n := range s.cluster.AllNodes() {
		s.serve(listeners[n.ListEntry().ID], newNodeApp(n))
	}
	return s, nil
}

// openNodeListeners opens a listener for each node and adds it to listeners under the node's ID.
func openNodeListeners(opts Options, listeners map[string]net.Listener) error {
	optionsWithoutAddresses := opts.Cluster
	optionsWithoutAddresses.Address = nil
	for _, n := range standin.NewCluster(optionsWithoutAddresses).AllNodes() {
		l, err := net.Listen("tcp", net.JoinHostPort(opts.Host, "0"))
		if err != nil {
			closeListeners(listeners)
			return failure.Wrap(failure.Unavailable, "listen for a node", opts.Host, err)
		}
		listeners[n.ListEntry().ID] = l
	}
	return nil
}

func closeListeners(listeners map[string]net.Listener) {
	for _, l := range listeners {
		// The caller already returns another error, so errors of Close are ignored.
		_ = l.Close()
	}
}

// Address returns the IP:port of the log and the node list.
func (s *Server) Address() string { return s.address }

// Cluster returns the cluster whose nodes are served.
func (s *Server) Cluster() *standin.Cluster { return s.cluster }

// Log returns the log that is served.
func (s *Server) Log() *standin.Log { return s.log }

// Done returns a channel that is closed when the server has stopped.
func (s *Server) Done() <-chan struct{} { return s.done }

// Stop shuts down all listeners and waits for the goroutines that serve them.
func (s *Server) Stop() {
	for _, app := range s.apps {
		// Connections that are still open after stopTimeout are closed.
		_ = app.ShutdownWithTimeout(stopTimeout)
	}
	s.serveGroup.Wait()
	close(s.done)
}

func (s *Server) serve(l net.Listener, app *fiber.App) {
	s.apps = append(s.apps, app)
	s.serveGroup.Go(func() {
		// Listener blocks until the app is shut down.
		_ = app.Listener(l)
	})
}

func newApp() *fiber.App {
	return fiber.New(fiber.Config{
		DisableStartupMessage: true,
		// Stream names from the path are stored as keys that outlive the request.
		Immutable:      true,
		BodyLimit:      maxBodyBytes,
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

func (s *Server) newPlatformApp() *fiber.App {
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
	app.Post("/faults/nodes/:id/:fault", s.postNodeFault)
	app.Get("/stats", func(c *fiber.Ctx) error {
		return c.JSON(fiber.Map{"appends": s.log.AppendCount()})
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
	limit := min(c.QueryInt("limit", maxRecordsPerRead), maxRecordsPerRead)
	batch, err := s.log.Read(c.Context(), c.Params("stream"), int64(c.QueryInt("from")), limit, wait)
	if err != nil {
		return err
	}
	return c.JSON(batch)
}

func (s *Server) postNodeFault(c *fiber.Ctx) error {
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
		n.SetUnresponsive(true)
	case "unstick":
		n.SetUnresponsive(false)
	case "leave":
		n.SetLeaving(true)
	case "stay":
		n.SetLeaving(false)
	default:
		return c.Status(fiber.StatusBadRequest).JSON(fiber.Map{"error": "no such fault"})
	}
	return c.JSON(n.ListEntry())
}

// newCallContext returns a context for one call to a node. Its timeout is one minute.
func newCallContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), time.Minute)
}
