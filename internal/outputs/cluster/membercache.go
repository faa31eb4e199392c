package cluster

import (
	"encoding/json"
	"errors"
	"log/slog"
	"os"
	"path/filepath"
)

// LoadCache sets the view to the cached members, until the key-value store has
// answered. A member without a key-value store uses no cache.
func (m *Membership) LoadCache() {
	m.view = &View{Members: []Member{m.Self}, Confirmed: m.KeyValueStore == nil}
	m.changed = make(chan struct{})
	if m.KeyValueStore == nil || m.CacheFile == "" {
		return
	}
	raw, err := os.ReadFile(m.CacheFile)
	var list []Member
	if err == nil {
		err = json.Unmarshal(raw, &list)
	}
	if err != nil {
		if !errors.Is(err, os.ErrNotExist) {
			slog.Warn("member cache not read", "file", m.CacheFile, "err", err)
		}
		return
	}
	m.view.Members = m.withSelf(list)
}

// saveCache writes a view to the cache file, for the next start.
func (m *Membership) saveCache(v *View) {
	if m.CacheFile == "" {
		return
	}
	raw, _ := json.MarshalIndent(v.Members, "", " ")
	tmp := m.CacheFile + ".new"
	if err := os.WriteFile(tmp, raw, 0o640); err != nil {
		return
	}
	if err := os.Rename(tmp, m.CacheFile); err != nil {
		slog.Warn("member cache not written", "file", filepath.Base(m.CacheFile), "err", err)
	}
}
