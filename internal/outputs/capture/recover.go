package capture

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"time"

	"reedtrack/internal/outputs/client"
	"reedtrack/internal/outputs/spool"
)

// exitUnknown is the exit status of a command whose end was not observed.
const exitUnknown = -1

// dialFunc returns a client of the stores for an attempt.
type dialFunc = func(*AttemptInfo) (*client.Client, error)

// Recover ships the spools in dir that killed captures have left, and reports the result
// for each. It skips spools that are in use by a running capture. Artefacts that were not
// collected yet are collected now, up to artefactBytes in total.
func Recover(ctx context.Context, dir string, dial dialFunc, spoolBytes int64, artefactBytes uint64, report func(name string, err error)) error {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return err
	}
	var failed error
	for _, e := range entries {
		path := filepath.Join(dir, e.Name())
		if _, err := os.Stat(filepath.Join(path, attemptFile)); !e.IsDir() || err != nil {
			continue
		}
		err := recoverSpool(ctx, path, dial, spoolBytes, artefactBytes)
		if errors.Is(err, spool.ErrInUse) {
			continue
		}
		report(e.Name(), err)
		failed = errors.Join(failed, err)
		if ctx.Err() != nil {
			return errors.Join(failed, ctx.Err())
		}
	}
	return failed
}

// recoverSpool ships one spool and deletes it.
func recoverSpool(ctx context.Context, path string, dial dialFunc, spoolBytes int64, artefactBytes uint64) error {
	a := new(AttemptInfo)
	if err := readJSON(filepath.Join(path, attemptFile), a); err != nil {
		return err
	}
	stores, err := dial(a)
	if err != nil {
		return err
	}
	sp, err := spool.Open(path, spoolBytes, tailBytes(Limits{}))
	if err != nil {
		return err
	}
	defer sp.Close()
	ship, err := newShipper(sp, a, stores)
	if err != nil {
		return err
	}
	result, err := loadResult(path, a, artefactBytes)
	if err != nil {
		return err
	}
	if err := ship.openAndShip(ctx, nil); err != nil {
		return err
	}
	if err := ship.seal(ctx, result); err != nil {
		return err
	}
	sp.Close()
	return os.RemoveAll(path)
}

// loadResult reads the result of the command from the spool. If the capture was killed
// before it wrote one, the result has the cause lost, and the artefacts are collected in
// their present state.
func loadResult(path string, a *AttemptInfo, artefactBytes uint64) (*Result, error) {
	result := new(Result)
	err := readJSON(filepath.Join(path, resultFile), result)
	if err == nil || !errors.Is(err, os.ErrNotExist) {
		return result, err
	}
	result = &Result{AtNs: time.Now().UnixNano(), Exit: exitUnknown, Cause: causeLost}
	result.Files, result.Refused = collect(a.Dir, path, a.Keep, artefactBytes)
	return result, writeJSON(filepath.Join(path, resultFile), result)
}
