package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"quartzshelf.dev/common/reason"
)

// DataHallSpec is the spec of a DataHall document. A hall without a document is open and has no
// region.
type DataHallSpec struct {
	// Region is the region of the hall.
	Region string `json:"region,omitempty" yaml:"region,omitempty"`
	// Closed is set if the hall gets no new requests. Its replicas remain.
	Closed bool `json:"closed,omitempty" yaml:"closed,omitempty"`
}

// Hall is a data hall as described by its document.
type Hall struct {
	name string
	spec DataHallSpec
}

// Name returns the name of the hall.
func (h Hall) Name() string { return h.name }

// Region returns the region of the hall, empty if it has none.
func (h Hall) Region() string { return h.spec.Region }

// Closed reports whether an operator closed the hall.
func (h Hall) Closed() bool { return h.spec.Closed }

func newHall(d Document) Hall {
	spec, _ := decodeSpec[DataHallSpec](d)
	return Hall{name: d.Name, spec: spec}
}

// Regions are the regions in which a request may run; an empty list allows all.
type Regions []string

// Allow reports whether a request may run in the region.
func (r Regions) Allow(region string) bool {
	return len(r) == 0 || slices.Contains(r, region)
}

// Halls returns the data halls that have a document, sorted by name.
func (v *View) Halls() []Hall { return v.halls }

// Hall returns the data hall with the given name. Without a document it is open and has no region.
func (v *View) Hall(name string) Hall {
	i, ok := slices.BinarySearchFunc(v.halls, name, func(h Hall, name string) int {
		return strings.Compare(h.name, name)
	})
	if !ok {
		return Hall{name: name}
	}
	return v.halls[i]
}

// ExclusionReason returns why a request must not be sent to a node in the data hall, or an empty
// reason if it may be. The hall's region must be allowed by each of the given lists.
func (v *View) ExclusionReason(hall string, allowed ...Regions) reason.Reason {
	h := v.Hall(hall)
	for _, regions := range allowed {
		if !regions.Allow(h.Region()) {
			return reason.RegionNotAllowed
		}
	}
	if h.Closed() {
		return reason.HallClosed
	}
	return ""
}

// hallWarnings returns a warning for each deployment that has no allowed region in common with some
// account that may use it.
func (v *View) hallWarnings() []string {
	var warnings []string
	for _, d := range v.deployments {
		var disjoint []string
		for _, a := range v.accounts {
			if d.Allows(a) && !d.AllowedRegions().overlaps(a.AllowedRegions()) {
				disjoint = append(disjoint, a.name)
			}
		}
		if len(disjoint) > 0 {
			warnings = append(warnings, fmt.Sprintf(
				"Deployment/%s: no data hall lies in a region that it and client account %s both allow (%d such accounts)",
				d.name, disjoint[0], len(disjoint)))
		}
	}
	return warnings
}

// overlaps reports whether r and other allow a common region.
func (r Regions) overlaps(other Regions) bool {
	if len(r) == 0 || len(other) == 0 {
		return true
	}
	return slices.ContainsFunc(r, func(region string) bool { return slices.Contains(other, region) })
}

// checkRegions returns an error if an object allows a region that no data hall lies in. Of several
// errors it returns the first one in the order of keys, so that every daemon reports the same.
func checkRegions(objects map[Key]Object) error {
	knownRegions := make(map[string]bool)
	allowedByObject := make(map[Key]Regions)
	for key, object := range objects {
		switch key.Kind {
		case KindDataHall:
			if region := newHall(object.document).Region(); region != "" {
				knownRegions[region] = true
			}
		case KindDeployment, KindAccount, KindService:
			if regions := allowedRegions(object.document); len(regions) > 0 {
				allowedByObject[key] = regions
			}
		}
	}
	for _, key := range slices.SortedFunc(maps.Keys(allowedByObject), compareKeys) {
		for i, region := range allowedByObject[key] {
			if !knownRegions[region] {
				return &FieldError{
					object: key, field: fmt.Sprintf("spec.allowedRegions[%d]", i),
					problem: fmt.Sprintf("no DataHall document names the region %q, known regions are %s",
						region, joinOrNone(slices.Sorted(maps.Keys(knownRegions)))),
				}
			}
		}
	}
	return nil
}

// allowedRegions returns the allowed regions of a deployment, service or account.
func allowedRegions(d Document) Regions {
	spec, _ := decodeSpec[struct {
		AllowedRegions Regions `json:"allowedRegions"`
	}](d)
	return spec.AllowedRegions
}

// joinOrNone joins names with commas, or returns "none" if there are no names.
func joinOrNone(names []string) string {
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, ", ")
}

func (c *checker) checkDataHall(s DataHallSpec) {
	if s.Region != "" {
		c.checkRegion("spec.region", s.Region)
	}
}

// checkRegion checks the name of a region.
func (c *checker) checkRegion(field, region string) {
	if len(region) > maxNameLength || !namePattern.MatchString(region) {
		c.addProblem(field, "%q must be at most %d lower-case letters, digits, dots and dashes", region, maxNameLength)
	}
}

// checkAllowedRegions checks a list of allowed regions. An empty list is invalid because it could
// mean all regions or none.
func (c *checker) checkAllowedRegions(regions []string) {
	const field = "spec.allowedRegions"
	if regions != nil && len(regions) == 0 {
		c.addProblem(field, "must name a region, or be left out to allow all")
	}
	for i, region := range regions {
		c.checkRegion(fmt.Sprintf("%s[%d]", field, i), region)
		if slices.Index(regions, region) != i {
			c.addProblem(fmt.Sprintf("%s[%d]", field, i), "%q is named twice", region)
		}
	}
}
