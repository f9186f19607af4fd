package proxy

// The salts under which servers keep the parts of prompts.

import (
	"strconv"
	"strings"

	"moleshift/dataplane/routing"
)

const (
	saltVersion = "@" // before the version of the weights
	saltTenant  = "/" // before the tenant, where it shares with nobody
	saltShared  = "~" // before the version of the configuration since which the others share with one another
)

// salt separates kept prompts: those made under other weights, and those of tenants that share with nobody. Where a tenant that shared is
// isolated, what it made before can't be told from what others made: the others share under a salt of their own from then on. The table is
// the newest one, so that an attempt made after such a change uses nothing that was made before it.
func (r *request) salt(table *routing.Table, version int64) string {
	s := saltOf(r.model, version)
	switch {
	case r.tenant != nil && table.Isolated(r.tenant):
		return s + saltTenant + r.tenant.Name
	case table.SharedSince > 0:
		return s + saltShared + strconv.FormatInt(table.SharedSince, 10)
	}
	return s
}

func saltOf(model string, version int64) string {
	return model + saltVersion + strconv.FormatInt(version, 10)
}

// madeUnder tells whether parts under a salt were made under a version of a model's weights.
func madeUnder(salt, model string, version int64) bool {
	rest, ok := strings.CutPrefix(salt, saltOf(model, version))
	return ok && (rest == "" || strings.HasPrefix(rest, saltTenant) || strings.HasPrefix(rest, saltShared))
}
