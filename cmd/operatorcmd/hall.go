package operatorcmd

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"quartzshelf.dev/config"
	"quartzshelf.dev/hall"
)

// hallCommand shows, closes and opens data halls.
type hallCommand struct {
	List  hallListCommand  `cmd:"" help:"Show the data halls and their states."`
	Close hallCloseCommand `cmd:"" help:"Close a data hall to new requests and wait until it is empty."`
	Open  hallOpenCommand  `cmd:"" help:"Open a data hall to requests."`
}

// hallListCommand shows all data halls.
type hallListCommand struct{}

// Run prints the data halls and their states.
func (l *hallListCommand) Run(env *environment) error {
	halls, err := env.client.listHalls()
	if err != nil {
		return err
	}
	return showHalls(env, halls, halls)
}

// showHalls writes value as JSON or YAML, or the halls as a table, depending on the format.
func showHalls(env *environment, value any, halls []hall.Status) error {
	return show(env.stdout, env.format, value, hallTable(halls))
}

func hallTable(halls []hall.Status) table {
	t := table{head: []string{"DATA HALL", "REGION", "STATE", "DAEMONS", "NODES", "REPLICAS", "IN FLIGHT", "WAITS FOR"}}
	for _, h := range halls {
		t.rows = append(t.rows, []string{
			h.Name, h.Region, string(h.State), strconv.Itoa(h.Daemons), strconv.Itoa(h.Nodes),
			strconv.Itoa(h.Replicas), strconv.Itoa(h.InFlight), strings.Join(h.Obstacles, "; "),
		})
	}
	return t
}

// hallCloseCommand closes a data hall.
type hallCloseCommand struct {
	Name    string        `arg:"" help:"Name of the data hall." predictor:"hall"`
	Force   bool          `help:"Close it even if no other data hall is open."`
	NoWait  bool          `help:"Do not wait until it is empty."`
	Timeout time.Duration `help:"How long to wait until it is empty." default:"15m"`
	Author  string        `help:"Name to show in the history." env:"USER"`
}

// Run closes the data hall and waits until it is empty.
func (c *hallCloseCommand) Run(env *environment) error {
	if c.Timeout <= 0 {
		return &usageError{cause: fmt.Errorf("--timeout must be above zero, not %v", c.Timeout)}
	}
	halls, err := env.client.listHalls()
	if err != nil {
		return err
	}
	current, err := findHall(halls, c.Name)
	if err != nil {
		return err
	}
	if current.State == hall.Open {
		if isLastOpenHall(halls, c.Name) && !c.Force {
			return &refusedError{problem: fmt.Sprintf("closing %s leaves no data hall open: "+
				"every request would be refused with hall_closed; --force closes it all the same", c.Name)}
		}
		if err := env.setHallClosed(c.Name, true, c.Author); err != nil {
			return err
		}
	}
	if c.NoWait {
		return env.showHall(c.Name)
	}
	wait := hallWait{env: env, name: c.Name, deadline: time.Now().Add(c.Timeout)}
	return wait.run()
}

// hallOpenCommand opens a data hall.
type hallOpenCommand struct {
	Name   string `arg:"" help:"Name of the data hall." predictor:"hall"`
	Author string `help:"Name to show in the history." env:"USER"`
}

// Run opens the data hall and prints its state.
func (o *hallOpenCommand) Run(env *environment) error {
	halls, err := env.client.listHalls()
	if err != nil {
		return err
	}
	current, err := findHall(halls, o.Name)
	if err != nil {
		return err
	}
	if current.State != hall.Open {
		if err := env.setHallClosed(o.Name, false, o.Author); err != nil {
			return err
		}
	}
	return env.showHall(o.Name)
}

// findHall returns the hall with the given name, or an error that lists the known names.
func findHall(halls []hall.Status, name string) (hall.Status, error) {
	var known []string
	for _, h := range halls {
		if h.Name == name {
			return h, nil
		}
		known = append(known, h.Name)
	}
	return hall.Status{}, &usageError{
		cause: fmt.Errorf("data hall %q is not known; known data halls are %s", name, strings.Join(known, ", ")),
	}
}

// isLastOpenHall reports whether no other hall that has nodes is open.
func isLastOpenHall(halls []hall.Status, name string) bool {
	return !slices.ContainsFunc(halls, func(h hall.Status) bool {
		return h.Name != name && h.State == hall.Open && h.Nodes > 0
	})
}

// setHallClosed publishes the hall as closed or open and keeps the other fields of its document.
func (env *environment) setHallClosed(name string, closed bool, author string) error {
	current, err := env.currentObject(string(config.KindDataHall), name)
	if err != nil {
		return err
	}
	d := config.Document{Kind: config.KindDataHall, Name: name}
	var spec config.DataHallSpec
	if current != nil {
		d = current.Document
		if len(d.Spec) > 0 {
			if err := json.Unmarshal(d.Spec, &spec); err != nil {
				return fmt.Errorf("decode %s: %w", d.Key(), err)
			}
		}
	}
	spec.Closed = closed
	if d.Spec, err = json.Marshal(spec); err != nil {
		return err
	}
	if err := config.Validate(d); err != nil {
		return &usageError{cause: err}
	}
	return env.publishTo(env.stderr, config.ChangeSet{Author: author, Changes: []config.Change{putChange(d, current)}})
}

// showHall prints the current status of one hall.
func (env *environment) showHall(name string) error {
	halls, err := env.client.listHalls()
	if err != nil {
		return err
	}
	h, err := findHall(halls, name)
	if err != nil {
		return err
	}
	return showHalls(env, h, []hall.Status{h})
}

// listHalls returns the status of every data hall.
func (c *client) listHalls() ([]hall.Status, error) {
	var halls []hall.Status
	err := c.get("/api/halls", &halls)
	return halls, err
}
