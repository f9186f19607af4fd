package fault

import (
	"errors"
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

// Every kind has an answer that tells what it means and what can be done, and promises stand just where the protocol has them.
func TestTable(t *testing.T) {
	promises := map[int]bool{408: true, 421: true, 429: true, 503: true}
	for k := None + 1; k < numKinds; k++ {
		a := k.Answer()
		must.Between(t, 400, a.Status, 599)
		must.NotEq(t, "", a.Text)
		if k != ClientGone {
			must.NotEq(t, "", a.Remedy, must.Sprintf("kind %d", k))
		}
		must.Eq(t, promises[a.Status], a.Promise, must.Sprintf("kind %d: a status that promises promises always", k))
		if a.RetryAfter > 0 {
			must.True(t, a.Promise, must.Sprintf("kind %d tells when to come back, so it must not have run", k))
		}
	}
}

func TestKindOf(t *testing.T) {
	must.Eq(t, None, KindOf(nil))
	must.Eq(t, BadKey, KindOf(fmt.Errorf("around: %w", New(BadKey, "k"))))
	must.Eq(t, Unavailable, KindOf(errors.New("something else")))
	must.Eq(t, "unknown key: of nobody", New(BadKey, "of %s", "nobody").Error())
}
