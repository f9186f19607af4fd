package proxy

// The salts under which servers keep the parts of prompts.

import (
	"strconv"
	"strings"
)

const (
	saltVersion = "@" // before the version of the weights
	saltTenant  = "/" // before the tenant, where it shares with nobody
)

// salt separates kept prompts: those made under other weights, and those of tenants that share with nobody.
func (r *request) salt(version int64) string {
	s := saltOf(r.model, version)
	if r.tenant != nil && r.tenant.Isolated {
		s += saltTenant + r.tenant.Name
	}
	return s
}

func saltOf(model string, version int64) string {
	return model + saltVersion + strconv.FormatInt(version, 10)
}

// madeUnder tells whether parts under a salt were made under a version of a model's weights.
func madeUnder(salt, model string, version int64) bool {
	rest, ok := strings.CutPrefix(salt, saltOf(model, version))
	return ok && (rest == "" || strings.HasPrefix(rest, saltTenant))
}
