package placement

import (
	"github.com/cyclamentray/cyclamentray/placement/topology"
)

// Decide returns what to start, reclaim and hold. It does not change v, and
// equal views give equal plans.
func Decide(v View) Plan {
	var p Plan
	ws := make([]topology.Worker, len(v.Workers))
	for i, w := range v.Workers {
		ws[i] = topology.Worker{Name: w.Name, Rack: w.Rack, Accelerators: w.Accelerators, Unavailable: w.Unavailable != ""}
	}
	k := topology.NewCapacity(topology.NewCluster(ws))
	for _, g := range v.Running {
		for _, name := range g.Workers {
			if w, ok := k.Position(name); ok {
				k.Take(w, g.Shape.AcceleratorsPerTask)
			}
		}
	}
	for _, w := range v.Waiting {
		if v.Out {
			p.Holds = append(p.Holds, Hold{ID: w.ID, Reason: "the failure domain is out of service; bring it back or submit elsewhere"})
			continue
		}
		place := k.Fit(w.Shape, nil)
		if place == nil {
			p.Holds = append(p.Holds, Hold{ID: w.ID, Reason: "too few adjacent accelerators are free; wait or submit a smaller shape"})
			continue
		}
		k.TakeAll(place, w.Shape.AcceleratorsPerTask)
		p.Starts = append(p.Starts, Start{ID: w.ID, Workers: k.Names(place)})
	}
	return p
}
