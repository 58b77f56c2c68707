package guarantee

import (
	"cmp"
	"slices"

	"github.com/cyclamentray/cyclamentray/job"
)

// Slot is one copy of a guaranteed shape.
type Slot struct {
	Organisation string
	Shape        job.Shape
}

// Assignment maps claims to slots, at most one claim to each slot.
type Assignment struct {
	slots       []Slot
	claims      []Claim
	claimBySlot []int            // index in claims of the claim that uses each slot; unused: noClaim (-1)
	slotsByOrg  map[string][]int // indices of each organisation's slots, smallest shape first
	unusedByOrg map[string]int   // number of unused slots of each organisation
}

// noClaim marks an unused slot in claimBySlot.
const noClaim = -1

// NewAssignment returns an assignment in which every slot is unused.
func NewAssignment(gs []Guarantee) *Assignment {
	a := &Assignment{slotsByOrg: map[string][]int{}, unusedByOrg: map[string]int{}}
	for _, g := range gs {
		for range g.Count {
			a.slots = append(a.slots, Slot{Organisation: g.Organisation, Shape: g.Shape})
		}
	}
	slices.SortStableFunc(a.slots, compareSlots)
	a.claimBySlot = slices.Repeat([]int{noClaim}, len(a.slots))
	for i, s := range a.slots {
		a.slotsByOrg[s.Organisation] = append(a.slotsByOrg[s.Organisation], i)
		a.unusedByOrg[s.Organisation]++
	}
	return a
}

func compareSlots(a, b Slot) int {
	return cmp.Or(
		cmp.Compare(a.Organisation, b.Organisation),
		cmp.Compare(a.Shape.Accelerators(), b.Shape.Accelerators()),
		cmp.Compare(a.Shape.Tasks, b.Shape.Tasks),
		cmp.Compare(a.Shape.Adjacency, b.Shape.Adjacency),
	)
}

// Slots returns every slot. Callers must not change it.
func (a *Assignment) Slots() []Slot { return a.slots }

// Unused reports whether no claim uses the slot.
func (a *Assignment) Unused(slot int) bool { return a.claimBySlot[slot] == noClaim }

// FindSlot returns the slot that would become used if the claim were added,
// without adding it. Earlier claims keep a slot, though not always the same one.
func (a *Assignment) FindSlot(c Claim) (slot int, ok bool) {
	return a.augment(c, nil)
}

// AddClaim adds a claim and returns the slot that became used. It adds nothing
// and returns false if the organisation has no slot for the claim.
func (a *Assignment) AddClaim(c Claim) (slot int, ok bool) {
	a.claims = append(a.claims, c)
	slot, ok = a.augment(c, a.setClaim)
	if !ok {
		a.claims = a.claims[:len(a.claims)-1]
		return slot, false
	}
	a.unusedByOrg[c.Organisation]--
	return slot, true
}

func (a *Assignment) setClaim(slot, claim int) { a.claimBySlot[slot] = claim }

// augment searches for an augmenting path from the claim to an unused slot, and
// calls assign, if not nil, for each slot on the path. It fails only if no
// assignment of slots serves the claim together with all earlier ones.
func (a *Assignment) augment(c Claim, assign func(slot, claim int)) (end int, ok bool) {
	if a.unusedByOrg[c.Organisation] == 0 {
		return 0, false
	}
	seen := map[int]bool{}
	var visit func(c Claim, claim int) bool
	visit = func(c Claim, claim int) bool {
		for _, s := range a.slotsByOrg[c.Organisation] {
			if seen[s] || !c.Fits(a.slots[s].Shape) {
				continue
			}
			seen[s] = true
			user := a.claimBySlot[s]
			if user == noClaim {
				end = s
			} else if !visit(a.claims[user], user) {
				continue
			}
			if assign != nil {
				assign(s, claim)
			}
			return true
		}
		return false
	}
	ok = visit(c, len(a.claims)-1)
	return end, ok
}
