package storage

import "testing"

// Stored keys never change, and each key parses to the values that it was built from, and
// only as a key of its own kind.
func TestKeys(t *testing.T) {
	named := func(parse func(string) (string, bool), want string) func(string) bool {
		return func(key string) bool { got, ok := parse(key); return ok && got == want }
	}
	numbered := func(parse func(string) (int, bool), want int) func(string) bool {
		return func(key string) bool { got, ok := parse(key); return ok && got == want }
	}
	delegation := DelegationID{Shard: 3, Controller: "rack/n1", Record: 2}
	delegated := func(parse func(string) (DelegationID, bool)) func(string) bool {
		return func(key string) bool { got, ok := parse(key); return ok && got == delegation }
	}
	cases := map[string]struct {
		key    string
		want   string
		parses func(key string) bool
	}{
		"controller":     {ControllerKey("n1"), "r/alive/n1", named(ParseControllerKey, "n1")},
		"shard":          {ShardKey(3), "r/shard/3", numbered(ParseShardKey, 3)},
		"grant":          {GrantKey(3), "r/grant/3", numbered(ParseGrantKey, 3)},
		"catalog chunk":  {CatalogChunkKey(4), "r/catalog/4", numbered(ParseCatalogChunkKey, 4)},
		"job":            {JobKey("wk-1"), "r/job/wk-1", named(ParseJobKey, "wk-1")},
		"version marker": {VersionMarkerKey("n1"), "r/mark/n1", named(ParseVersionMarkerKey, "n1")},
		"grant chunk": {GrantChunkKey(3, 4), "r/piece/3/4", func(key string) bool {
			shard, chunk, ok := ParseGrantChunkKey(key)
			return ok && shard == 3 && chunk == 4
		}},
		"completion chunk": {CompletionChunkKey("wk-1", 64), "r/done/wk-1/64", func(key string) bool {
			id, first, ok := ParseCompletionChunkKey(key)
			return ok && id == "wk-1" && first == 64
		}},
		"delegation":     {DelegationKey(delegation), "r/deputy/3/rack/n1/2", delegated(ParseDelegationKey)},
		"delegation ack": {DelegationAckKey(delegation), "r/named/3/rack/n1/2", delegated(ParseDelegationAckKey)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if c.key != c.want || !c.parses(c.want) {
				t.Errorf("key %q, want %q; parsed correctly: %t", c.key, c.want, c.parses(c.want))
			}
			for other, o := range cases {
				if other != name && c.parses(o.key) {
					t.Errorf("%q was parsed as a key of another kind", o.key)
				}
			}
		})
	}
	if got := EndedJobKey("wk-1"); got != "e/wk-1" {
		t.Errorf("key of an ended job is %q", got)
	}
}
