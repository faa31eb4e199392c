package daemon

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

const (
	storeIDFile  = "store-id"
	storeIDBytes = 16
)

// loadStoreID returns the ID of a data directory and creates one if there is none. The
// ID identifies the content: a store that returns under the same name with an empty
// disk is a different member, which must not count as a holder of the old replicas.
func loadStoreID(dir string) (string, error) {
	path := filepath.Join(dir, storeIDFile)
	raw, err := os.ReadFile(path)
	switch {
	case errors.Is(err, os.ErrNotExist):
		return createStoreID(path)
	case err != nil:
		return "", err
	}
	id := strings.TrimSpace(string(raw))
	if len(id) != hex.EncodedLen(storeIDBytes) {
		return "", fmt.Errorf("%s: holds no id", path)
	}
	return id, nil
}

func createStoreID(path string) (string, error) {
	raw := make([]byte, storeIDBytes)
	rand.Read(raw)
	id := hex.EncodeToString(raw)
	return id, os.WriteFile(path, []byte(id+"\n"), 0o640)
}
