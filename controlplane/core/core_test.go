package core

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/goleak"

	"moleshift/controlplane/quorum"
	"moleshift/fault"
	"moleshift/peer"
)

// The tests run in virtual time: what they wait for takes none, and a busy machine makes nothing late.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func soon() time.Time { return time.Now().Add(2 * time.Second) }

func put(r *Registers, text string) error {
	_, err := r.Change(Config, soon(), func(v quorum.Value) (quorum.Value, error) {
		v.Data = append([]byte(string(v.Data)), text...)
		return v, nil
	})
	return err
}

func TestChangeIsSeenByAll(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		net := newNetwork(t, 3, 1)
		must.NoError(t, put(net.driver(0), "a"))
		must.NoError(t, put(net.driver(1), "b"))
		for i := range 3 {
			k, err := net.driver(i).Refresh(Config, soon())
			must.NoError(t, err)
			must.Eq(t, "ab", string(k.Value.Data))
		}
		net.set(2, true)
		must.NoError(t, put(net.driver(0), "c"))
		net.set(1, true)
		_, err := net.driver(0).Change(Config, time.Now(), func(v quorum.Value) (quorum.Value, error) { return v, nil })
		must.Eq(t, fault.Unavailable, fault.KindOf(err), must.Sprint("one of three is no majority"))
	})
}

func TestEditThatFailsChangesNothing(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		net := newNetwork(t, 3, 1)
		must.NoError(t, put(net.driver(0), "a"))
		wrong := fault.New(fault.WrongVersion, "not now")
		_, err := net.driver(1).Change(Config, soon(), func(v quorum.Value) (quorum.Value, error) { return quorum.Value{}, wrong })
		must.ErrorIs(t, err, wrong)
		k, err := net.driver(2).Refresh(Config, soon())
		must.NoError(t, err)
		must.Eq(t, "a", string(k.Value.Data))
	})
}

// A value that one acceptor took before its proposer failed is found and settled, and then it is there for good.
func TestHalfDoneChangeIsSettled(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		net := newNetwork(t, 3, 1)
		must.NoError(t, put(net.driver(0), "a"))
		m := net.member(1)
		s := m.acceptor.State(Config)
		b := s.Promised.Next("failed")
		_, err := m.acceptor.Accept(&peer.Accept{Register: Config, Target: m.acceptor.Identity(), Ballot: b,
			Value: quorum.Value{Members: s.Value.Members, Data: []byte("ab")}})
		must.NoError(t, err)
		net.driver(1).Look(nil, nil)
		must.Eq(t, "a", string(net.driver(0).Known(Config).Value.Data))
		must.NotEq(t, b, net.driver(1).Known(Config).Ballot, must.Sprint("it is not chosen"))
		net.driver(1).Settle(Config, soon())
		for i := range 3 {
			k, err := net.driver(i).Refresh(Config, soon())
			must.NoError(t, err)
			must.Eq(t, "ab", string(k.Value.Data))
		}
	})
}

// A node that comes back with an empty disk answers for nobody, until the others have taken its new identity in.
func TestEmptyDiskCountsForNothing(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		net := newNetwork(t, 3, 1)
		must.NoError(t, put(net.driver(0), "a"))
		wiped := net.member(0)
		wiped.store = &memory{records: map[string][]byte{}}
		net.start(t, wiped)
		must.True(t, wiped.acceptor.Fresh())
		net.set(1, true)
		_, err := net.driver(2).Change(Config, time.Now(), func(v quorum.Value) (quorum.Value, error) { return v, nil })
		must.Error(t, err, must.Sprint("one member and one that is none are no quorum"))
		net.set(1, false)
		_, err = net.driver(2).Change(Config, soon(), func(v quorum.Value) (quorum.Value, error) {
			next := []quorum.Member{{ID: wiped.acceptor.Identity(), Address: wiped.address}}
			for _, m := range v.Members {
				if m.Address != wiped.address {
					next = append(next, m)
				}
			}
			return quorum.Begin(v, next), nil
		})
		must.NoError(t, err)
		_, err = net.driver(2).Change(Config, soon(), func(v quorum.Value) (quorum.Value, error) { return quorum.End(v), nil })
		must.NoError(t, err)
		net.set(1, true)
		must.NoError(t, put(net.driver(2), "b"))
		k, err := wiped.registers.Refresh(Config, soon())
		must.NoError(t, err)
		must.Eq(t, "ab", string(k.Value.Data))
	})
}

// A node that is no member yet learns what is chosen also where the last answer that can come is the one that settles it.
func TestLookThatNeedsEveryAnswer(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		net := newNetwork(t, 3, 1)
		must.NoError(t, put(net.driver(0), "a"))
		members := net.driver(0).Members(Config)
		wiped := net.member(2)
		wiped.store = &memory{records: map[string][]byte{}}
		net.start(t, wiped)
		wiped.registers.Hint(members)
		wiped.registers.Look(nil, nil)
		k := wiped.registers.Known(Config)
		must.False(t, k.Confirmed.IsZero())
		must.Eq(t, "a", string(k.Value.Data))
	})
}

// An acceptor that promised something in one register before word of the first membership came has that membership in every register.
func TestInstallAfterAPromise(t *testing.T) {
	a, err := NewAcceptor(nil)
	must.NoError(t, err)
	first := []quorum.Member{{ID: a.Identity(), Address: "n0"}, {ID: "other", Address: "n1"}}
	_, err = a.Prepare(&peer.Prepare{Register: Config, Target: a.Identity(), Ballot: quorum.Ballot{Counter: 5, Proposer: "p"}})
	must.NoError(t, err)
	must.NoError(t, a.Install(first))
	for _, register := range registers {
		s := a.State(register)
		must.Eq(t, first, s.Value.Members, must.Sprint(register))
		must.Eq(t, quorum.Ballot{Counter: 1}, s.Accepted, must.Sprint(register))
	}
	must.Eq(t, 5, a.State(Config).Promised.Counter, must.Sprint("the promise stands"))
}

// Members that a node was only told of are whom to ask, and no quorum: a register that none of them has a value of is not written.
func TestHintedMembersAreNoQuorum(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		net := emptyNetwork(1)
		var hinted []quorum.Member
		for i := range 3 {
			m := net.add(t, i)
			hinted = append(hinted, quorum.Member{ID: m.acceptor.Identity(), Address: m.address})
		}
		driver := net.driver(0)
		driver.Hint(hinted)
		driver.Look(nil, nil)
		must.True(t, driver.Known(Weights).Confirmed.IsZero(), must.Sprint("nothing is chosen there"))
		_, err := driver.Change(Weights, time.Now().Add(50*time.Millisecond), func(v quorum.Value) (quorum.Value, error) { return v, nil })
		must.Error(t, err)
	})
}
