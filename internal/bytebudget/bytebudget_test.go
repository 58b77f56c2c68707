package bytebudget_test

import (
	"math"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/cyclamentray/cyclamentray/internal/bytebudget"
)

// reader is a hold that records whether it was given up.
type reader struct {
	*bytebudget.Hold
	givenUp bool
}

func open(b *bytebudget.Budget) *reader {
	r := &reader{}
	r.Hold = b.Open(func() { r.givenUp = true })
	return r
}

// Guards against small readers that wait behind large ones that don't end.
func TestLargestIsGivenUpForASmallOne(t *testing.T) {
	count := 0
	b := bytebudget.New(100, func() { count++ })
	large, larger, small := open(b), open(b), open(b)
	must.NoError(t, large.Resize(40))
	must.NoError(t, larger.Resize(60))
	must.NoError(t, small.Resize(10))
	must.True(t, larger.givenUp)
	must.False(t, large.givenUp)
	must.ErrorIs(t, larger.Complete(), bytebudget.ErrGivenUp)
	must.NoError(t, large.Complete())
	must.EqOp(t, 1, count)
}

// Guards against a reader that takes the others' bytes because it is the largest.
func TestLargestIsRefusedWhenItGrows(t *testing.T) {
	b := bytebudget.New(100, func() {})
	large, other := open(b), open(b)
	must.NoError(t, large.Resize(60))
	must.NoError(t, other.Resize(40))
	must.ErrorIs(t, large.Resize(61), bytebudget.ErrGivenUp)
	must.False(t, other.givenUp)
}

// Guards against a complete request that is refused after it was passed on.
func TestCompleteHoldIsNotGivenUp(t *testing.T) {
	b := bytebudget.New(100, func() {})
	served, other := open(b), open(b)
	must.NoError(t, served.Resize(90))
	must.NoError(t, served.Complete())
	must.ErrorIs(t, other.Resize(20), bytebudget.ErrGivenUp)
	must.False(t, served.givenUp)
	served.Close()
	must.NoError(t, open(b).Resize(100))
}

// Guards against memory beyond the firm limit while holds that were given up are not closed.
func TestHoldsThatLeaveCountUntilTheyAreClosed(t *testing.T) {
	b := bytebudget.New(100, func() {})
	first, second, third := open(b), open(b), open(b)
	must.NoError(t, first.Resize(100))
	must.NoError(t, second.Resize(99))
	must.True(t, first.givenUp)
	must.ErrorIs(t, third.Resize(98), bytebudget.ErrGivenUp)
	first.Close()
	first.Close()
	third.Close()
	must.NoError(t, open(b).Resize(98))
}

// Guards against equal readers of which the one that has waited longest is kept.
func TestOfEqualHoldsTheFirstIsGivenUp(t *testing.T) {
	b := bytebudget.New(100, func() {})
	first, second := open(b), open(b)
	must.NoError(t, second.Resize(50))
	must.NoError(t, first.Resize(50))
	must.NoError(t, open(b).Resize(1))
	must.True(t, first.givenUp)
	must.False(t, second.givenUp)
}

// Guards against a size that overflows the sum.
func TestHugeSizeIsRefused(t *testing.T) {
	b := bytebudget.New(100, func() {})
	other, huge := open(b), open(b)
	must.NoError(t, other.Resize(50))
	must.ErrorIs(t, huge.Resize(math.MaxInt64), bytebudget.ErrGivenUp)
	must.False(t, other.givenUp)
}
