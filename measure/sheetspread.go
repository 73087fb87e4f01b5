package measure

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/nutmegpier/nutmegpier/fleet"
	"github.com/nutmegpier/nutmegpier/sheet"
	"github.com/nutmegpier/nutmegpier/standin"
)

const (
	// slowStore is the delay of each call to the store in the slow variant.
	slowStore = 200 * time.Millisecond
	// withdrawalTimeout bounds the wait for the end of a withdrawn key.
	withdrawalTimeout = 20 * time.Second
	// withdrawalProbes is the number of open sessions of a withdrawn key.
	withdrawalProbes = 9
)

// runSheetSpread measures how fast a published sheet is in force on all
// instances. The variant with the store up is the baseline of the other two.
func runSheetSpread(ctx context.Context, r *repetition) error {
	platform := r.world.demo.Platform()
	defer platform.SetOutage(standin.OutageNone)
	defer platform.SetDelay(0)
	if err := r.spread(ctx, "StoreUp", func() {}); err != nil {
		return fmt.Errorf("StoreUp: %w", err)
	}
	platform.SetDelay(slowStore)
	if err := r.spread(ctx, "StoreSlow", func() {}); err != nil {
		return fmt.Errorf("StoreSlow: %w", err)
	}
	platform.SetDelay(0)
	down := func() { platform.SetOutage(standin.OutageFail) }
	if err := r.spread(ctx, "StoreDownAfterAccept", down); err != nil {
		return fmt.Errorf("StoreDownAfterAccept: %w", err)
	}
	platform.SetOutage(standin.OutageNone)
	if err := r.withdraw(ctx, "KeyWithdrawn", func() {}); err != nil {
		return fmt.Errorf("KeyWithdrawn: %w", err)
	}
	if err := r.withdraw(ctx, "KeyWithdrawnStoreDown", down); err != nil {
		return fmt.Errorf("KeyWithdrawnStoreDown: %w", err)
	}
	return nil
}

// spread changes the burst of a workspace and waits for all instances.
func (r *repetition) spread(ctx context.Context, variant string, accepted func()) error {
	asked := time.Now()
	version, err := r.publish(ctx, func(s *sheet.Sheet) { s.Workspaces[0].Burst++ })
	if err != nil {
		return err
	}
	at := time.Now()
	accepted()
	if err := r.awaitVersion(ctx, version); err != nil {
		return err
	}
	r.collector.millis(variant, "Accept", at.Sub(asked))
	r.collector.millis(variant, "AcceptToLastInstance", time.Since(at))
	r.collector.millis(variant, "PublishToLastInstance", time.Since(asked))
	return nil
}

// publish publishes an edited sheet. A conflict is an error, because nobody
// else publishes.
func (r *repetition) publish(ctx context.Context, edit func(*sheet.Sheet)) (fleet.SheetVersion, error) {
	ctx, cancel := context.WithTimeout(ctx, setupTimeout)
	defer cancel()
	client := r.world.demo.Client(r.world.instances[0])
	current, err := client.Sheet(ctx, 0)
	if err != nil {
		return 0, err
	}
	var edited sheet.Sheet
	if err := json.Unmarshal([]byte(current.Content), &edited); err != nil {
		return 0, err
	}
	edit(&edited)
	content, err := json.Marshal(edited)
	if err != nil {
		return 0, err
	}
	publication, err := client.Publish(ctx, sheet.PublishRequest{
		Base:    current.Version,
		Comment: "measurement",
		Content: string(content),
		Force:   true,
	})
	return publication.Version, checkAccepted(publication, err)
}

func (r *repetition) awaitVersion(ctx context.Context, version fleet.SheetVersion) error {
	ctx, cancel := context.WithTimeout(ctx, setupTimeout)
	defer cancel()
	for _, id := range r.world.instances {
		board := r.world.demo.Instance(id).Board()
		for board.Sheet.Load().Version < version {
			if err := pause(ctx, pollPause); err != nil {
				return fmt.Errorf("version %d on %s: %w", version, id, err)
			}
		}
	}
	return nil
}

// withdraw replaces the key of the last workspace and measures until the last
// answer on open sessions of the old one, one session at each instance.
func (r *repetition) withdraw(ctx context.Context, variant string, accepted func()) error {
	last := len(r.world.keys) - 1
	key := r.world.keys[last]
	ctx, cancel := context.WithTimeout(ctx, withdrawalTimeout)
	defer cancel()
	watch := newKeyWatch()
	var probing sync.WaitGroup
	for place := range withdrawalProbes {
		s := newSession(r.world, key, key.Databases[place%len(key.Databases)], place, 0)
		if _, err := s.exec(ctx, "SELECT 1"); err != nil {
			return err
		}
		probing.Go(func() { watch.probe(ctx, s) })
	}
	var kept []sheet.Key
	asked := time.Now()
	_, err := r.publish(ctx, func(s *sheet.Sheet) {
		edited := workspaceOf(s, key.Workspace)
		kept = edited.Keys
		generated, _ := sheet.GenerateKey(rand.Reader, edited.Salt, edited.Iterations)
		edited.Keys = []sheet.Key{generated.Verifier}
	})
	if err != nil {
		cancel()
		probing.Wait()
		return err
	}
	at := time.Now()
	accepted()
	probing.Wait()
	r.collector.millis(variant, "AcceptToLastAnswer", max(0, watch.last().Sub(at)))
	r.collector.millis(variant, "PublishToLastAnswer", max(0, watch.last().Sub(asked)))
	r.collector.errors(variant, watch.codes)
	if ctx.Err() != nil {
		return errors.New("a session of a withdrawn key is still served")
	}
	r.world.demo.Platform().SetOutage(standin.OutageNone)
	version, err := r.publish(context.WithoutCancel(ctx), func(s *sheet.Sheet) { workspaceOf(s, key.Workspace).Keys = kept })
	if err != nil {
		return err
	}
	return r.awaitVersion(context.WithoutCancel(ctx), version)
}

func workspaceOf(s *sheet.Sheet, id fleet.WorkspaceID) *sheet.Workspace {
	for i := range s.Workspaces {
		if s.Workspaces[i].Workspace == id {
			return &s.Workspaces[i]
		}
	}
	return nil
}

// keyWatch notes the last answer that any session of a key got.
type keyWatch struct {
	mu     sync.Mutex
	codes  map[string]int64
	lastAt time.Time
}

func newKeyWatch() *keyWatch {
	return &keyWatch{codes: make(map[string]int64)}
}

// probe sends requests on an open connection until one is refused for the key
// or the connection is closed.
func (w *keyWatch) probe(ctx context.Context, s *session) {
	defer s.close()
	for ctx.Err() == nil {
		_, err := s.try(ctx, "SELECT 1")
		w.note(err)
		if err != nil && codeOf(err) != codeRate {
			return
		}
		if pause(ctx, writePause*4) != nil {
			return
		}
	}
}

func (w *keyWatch) note(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.codes[codeOf(err)]++
		return
	}
	w.lastAt = time.Now()
}

func (w *keyWatch) last() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lastAt
}
