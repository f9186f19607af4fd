package days

import "strconv"

// kind is one kind of disruption with the fields that are drawn for it.
type kind struct {
	name     string
	fields   []field
	how      []string // variants; "" is the plain one
	machines bool     // machineChoices and machineWords may follow the variant
}

// field is a field whose value is drawn.
type field struct {
	name  string
	value func(d *drawer) string
}

// between draws a number in a range.
func between(name string, low, high float64) field {
	return field{name, func(d *drawer) string { return number(low + (high-low)*d.rand.Float64()) }}
}

// whole draws a whole number in a range, both ends included.
func whole(name string, low, high int) field {
	return field{name, func(d *drawer) string { return strconv.Itoa(low + d.rand.IntN(high-low+1)) }}
}

// word is a field with one value.
func word(name, value string) field {
	return field{name, func(*drawer) string { return strconv.Quote(value) }}
}

var (
	// machineChoices say which machines are struck.
	machineChoices = []string{"turn", "leader", "reader", "giver", "seed"}
	// machineWords add what happens around the disruption of a machine.
	machineWords = []string{"meet", "race", "hard", "drain"}
)

// planned is the planned work.
var planned = []kind{
	{name: "release", fields: []field{between("share", 0.2, 0.6), between("gap_s", 0.5, 1.5)}},
	{name: "roll_term", fields: []field{between("share", 0.2, 1), between("gap_s", 0.6, 2)}, how: []string{"", "busy", "remove"}},
	{name: "roll_term", fields: []field{word("on", "core"), between("gap_s", 4, 9)}, how: []string{"", "busy"}},
	{name: "seed_turnover"},
	{name: "config_change", how: []string{"route", "weights", "timeout", "tenant", "idle"}},
	{name: "config_storm", fields: []field{between("gap_s", 0.2, 0.6), between("for_s", 2, 6)}},
	{name: "config_race", fields: []field{whole("count", 1, 3), between("gap_s", 0.5, 1.5)}},
	{name: "bad_config", fields: []field{whole("count", 1, 3), between("gap_s", 0.5, 1.5)},
		how: []string{"cut_short", "unknown_service", "same_place", "no_weight", "no_timeout", "old_version", "same_version", "shared_key"}},
	{name: "revoke", fields: []field{whole("count", 1, 3), between("gap_s", 0.5, 1.5)}},
	{name: "version_bump", fields: []field{whole("count", 0, 0)}},
	{name: "hup", fields: []field{between("share", 0.2, 0.8), between("gap_s", 0.5, 3)}},
	{name: "replace_core", fields: []field{between("x", 0.5, 3)}, how: []string{"planned", "planned oldest"}},
	{name: "scale_out", fields: []field{between("share", 0.1, 0.3), between("gap_s", 0.5, 2)}},
	{name: "scale_in", fields: []field{between("share", 0.1, 0.2)}, how: []string{"", "spot"}},
}

// coreFaults strike the machines that count, their disks and links, and the operator's acknowledgements.
var coreFaults = []kind{
	{name: "node_kill", fields: []field{word("on", "core"), whole("count", 1, 1), between("for_s", 0.5, 6)}, how: []string{"", "power"}, machines: true},
	{name: "node_freeze", fields: []field{word("on", "core"), whole("count", 1, 1), between("for_s", 0.1, 20)}, how: []string{""}, machines: true},
	{name: "core_cut", fields: []field{whole("count", 1, 1), between("for_s", 2, 20)},
		how: []string{"", "behind", "split", "all", "near", "oldest", "one_way", "seeds", "both", "lure", "relieve", "reset", "refuse"}, machines: true},
	{name: "node_cut", fields: []field{between("share", 0.1, 0.4), between("for_s", 1, 20)}, how: []string{"", "all"}},
	{name: "herd_kill", fields: []field{word("on", "core"), between("for_s", 0.5, 3)}, how: []string{"", "off", "taken", "taken all"}},
	{name: "herd_kill", fields: []field{between("share", 0.3, 0.9), between("for_s", 0.5, 3)}, how: []string{"", "power"}},
	{name: "after_ack_wipe", fields: []field{between("for_s", 0.5, 3)}, how: []string{"", "oldest"}},
	{name: "after_ack_kill", fields: []field{whole("count", 1, 2), between("for_s", 0.5, 4)}, how: []string{"", "kill", "timed", "taken"}},
	{name: "replace_core", fields: []field{between("x", 0.5, 3)}, how: []string{"", "oldest", "planned", "planned oldest"}},
	{name: "disk_slow", fields: []field{whole("count", 1, 1), between("x", 10, 60), between("for_s", 2, 8)}, how: []string{"", "leader"}},
	{name: "disk_full", fields: []field{whole("count", 1, 1), between("for_s", 2, 8)}},
	{name: "disk_stall", fields: []field{whole("count", 1, 1), between("for_s", 1, 6)}},
	{name: "clock_step", fields: []field{between("share", 0.2, 0.8), between("x", 500, 8000), between("for_s", 2, 8)}, how: []string{"back", "ahead"}},
	{name: "ack_lost", fields: []field{between("x", 0.3, 0.9), between("for_s", 3, 12)}},
	{name: "config_race", fields: []field{whole("count", 1, 3), between("gap_s", 0.3, 1.2)}},
	{name: "roll_term", fields: []field{between("share", 0.2, 1), between("gap_s", 0.6, 2)}, how: []string{"", "busy", "remove"}},
	{name: "node_slow", fields: []field{between("share", 0.1, 0.3), between("x", 3, 8), between("for_s", 2, 6)}},
	{name: "reset_conns", fields: []field{between("share", 0.1, 0.5), between("x", 0.3, 0.9)}},
}

// faults is every kind of fault.
var faults = append([]kind{
	{name: "srv_crash", fields: []field{between("share", 0.1, 0.3), between("for_s", 1, 5)}, how: []string{"", "dark", "gone"}},
	{name: "answer_lost", fields: []field{between("share", 0.3, 0.6), between("x", 0.02, 0.06), between("for_s", 2, 6)}, how: []string{"", "reset"}},
	{name: "garble", fields: []field{between("share", 0.3, 0.6), between("x", 0.01, 0.04), between("for_s", 2, 6)}, how: []string{"", "extra", "unframed", "early", "extra late"}},
	{name: "node_kill", fields: []field{between("share", 0.1, 0.3), between("for_s", 1, 4)}, how: []string{"", "power"}},
	{name: "node_freeze", fields: []field{between("share", 0.1, 0.3), between("for_s", 0.3, 6)}},
	{name: "kv_slow", fields: []field{between("share", 0.2, 0.5), between("for_s", 2, 6)}},
	{name: "events_gap", fields: []field{between("share", 0.2, 0.6), between("for_s", 2, 6)}},
	{name: "burst", fields: []field{between("x", 1.2, 2), between("for_s", 2, 5)}},
	{name: "retry_abuse", fields: []field{between("share", 0.1, 0.4), between("x", 1, 3), between("for_s", 3, 8)}},
	{name: "give_up", fields: []field{between("share", 0.05, 0.3), between("for_s", 3, 8)}},
	{name: "srv_slow", fields: []field{between("share", 0.1, 0.2), between("x", 2, 5), between("for_s", 2, 6)}},
	{name: "srv_grey", fields: []field{between("share", 0.1, 0.2), between("x", 0.2, 0.5), between("for_s", 2, 6)}, how: []string{"errors", "shed", "busy", "hang", "reset", "mute"}},
	{name: "srv_cut", fields: []field{between("share", 0.1, 0.3), between("for_s", 2, 8)}, how: []string{"", "fronts", "some", "one_way", "reset"}},
	{name: "srv_lying_health", fields: []field{between("share", 0.1, 0.2), between("for_s", 2, 6)}, how: []string{"hang", "reset", "bad"}},
	{name: "srv_flap", fields: []field{between("share", 0.1, 0.2), between("gap_s", 0.5, 2), between("for_s", 3, 8)}},
	{name: "idle_race", fields: []field{between("share", 0.3, 0.6), between("x", 100, 500), between("for_s", 2, 6)}},
	{name: "replace_with_reuse", fields: []field{between("share", 0.1, 0.2)}, how: []string{"", "drain", "dark"}},
	{name: "hot_key", fields: []field{between("share", 0.2, 0.6), between("for_s", 3, 8)}},
	{name: "scale_in", fields: []field{between("share", 0.1, 0.2)}, how: []string{"", "spot"}},
}, coreFaults...)

// closings are the faults that end a day.
var closings = []struct {
	name string
	how  []string
}{
	{"power_off_all", []string{"", "timed", "taken"}},
	{"wipe_after_ack", []string{"", "timed", "taken", "oldest", "aimed"}},
	{"kill_all", []string{"", "timed", "taken"}},
}
