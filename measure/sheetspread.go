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
	// slowStoreDelay is the delay of each call to the store in the variant StoreSlow.
	slowStoreDelay = 200 * time.Millisecond
	// withdrawalTimeout bounds the time until no session of a withdrawn key is served
	// any more.
	withdrawalTimeout = 20 * time.Second
	// withdrawalSessions is the number of sessions that are open when their key is
	// withdrawn.
	withdrawalSessions = 9
)

// runSheetSpread measures how long it takes until a published sheet is in force on all
// instances and until a withdrawn key is refused. StoreUp is the baseline of StoreSlow
// and StoreDownAfterAccept, and KeyWithdrawn is that of KeyWithdrawnStoreDown.
func runSheetSpread(ctx context.Context, r *repetition) error {
	platform := r.testbed.demo.Platform()
	defer platform.SetOutage(standin.OutageNone)
	defer platform.SetDelay(0)
	if err := r.measureSpread(ctx, "StoreUp", func() {}); err != nil {
		return fmt.Errorf("StoreUp: %w", err)
	}
	platform.SetDelay(slowStoreDelay)
	if err := r.measureSpread(ctx, "StoreSlow", func() {}); err != nil {
		return fmt.Errorf("StoreSlow: %w", err)
	}
	platform.SetDelay(0)
	stopStore := func() { platform.SetOutage(standin.OutageFail) }
	if err := r.measureSpread(ctx, "StoreDownAfterAccept", stopStore); err != nil {
		return fmt.Errorf("StoreDownAfterAccept: %w", err)
	}
	platform.SetOutage(standin.OutageNone)
	if err := r.measureWithdrawal(ctx, "KeyWithdrawn", func() {}); err != nil {
		return fmt.Errorf("KeyWithdrawn: %w", err)
	}
	if err := r.measureWithdrawal(ctx, "KeyWithdrawnStoreDown", stopStore); err != nil {
		return fmt.Errorf("KeyWithdrawnStoreDown: %w", err)
	}
	return nil
}

// measureSpread publishes a sheet with another burst of a workspace and waits until all
// instances apply it. It calls onAccepted when the publication has been accepted.
func (r *repetition) measureSpread(ctx context.Context, variant string, onAccepted func()) error {
	requestedAt := time.Now()
	version, err := r.publish(ctx, func(s *sheet.Sheet) { s.Workspaces[0].Burst++ })
	if err != nil {
		return err
	}
	acceptedAt := time.Now()
	onAccepted()
	if err := r.awaitVersion(ctx, version); err != nil {
		return err
	}
	r.collector.milliseconds(variant, "Accept", acceptedAt.Sub(requestedAt))
	r.collector.milliseconds(variant, "AcceptToLastInstance", time.Since(acceptedAt))
	r.collector.milliseconds(variant, "PublishToLastInstance", time.Since(requestedAt))
	return nil
}

// publish edits and publishes the current sheet. A conflict is an error, because nothing
// else publishes during a measurement.
func (r *repetition) publish(ctx context.Context, edit func(*sheet.Sheet)) (fleet.SheetVersion, error) {
	ctx, cancel := context.WithTimeout(ctx, setupTimeout)
	defer cancel()
	client := r.testbed.demo.Client(r.testbed.instances[0])
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

// awaitVersion waits until all instances apply the version of the sheet or a later one.
func (r *repetition) awaitVersion(ctx context.Context, version fleet.SheetVersion) error {
	ctx, cancel := context.WithTimeout(ctx, setupTimeout)
	defer cancel()
	for _, id := range r.testbed.instances {
		board := r.testbed.demo.Instance(id).Board()
		for board.Sheet.Load().Version < version {
			if err := sleep(ctx, pollInterval); err != nil {
				return fmt.Errorf("sheet version %d is not in force on instance %s: %w", version, id, err)
			}
		}
	}
	return nil
}

// measureWithdrawal replaces the key of the last workspace and measures when open
// sessions of the old key got their last answer. The sessions are distributed over the
// instances. At the end it restores the store and the old key.
func (r *repetition) measureWithdrawal(ctx context.Context, variant string, onAccepted func()) error {
	last := len(r.testbed.keys) - 1
	key := r.testbed.keys[last]
	ctx, cancel := context.WithTimeout(ctx, withdrawalTimeout)
	defer cancel()
	recorder := newAnswerRecorder()
	var sending sync.WaitGroup
	for index := range withdrawalSessions {
		s := newSession(r.testbed, key, key.Databases[index%len(key.Databases)], index, 0)
		if _, err := s.exec(ctx, "SELECT 1"); err != nil {
			return err
		}
		sending.Go(func() { recorder.sendUntilRefused(ctx, s) })
	}
	var oldKeys []sheet.Key
	requestedAt := time.Now()
	_, err := r.publish(ctx, func(s *sheet.Sheet) {
		edited := findWorkspace(s, key.Workspace)
		oldKeys = edited.Keys
		generated, _ := sheet.GenerateKey(rand.Reader, edited.Salt, edited.Iterations)
		edited.Keys = []sheet.Key{generated.Verifier}
	})
	if err != nil {
		cancel()
		sending.Wait()
		return err
	}
	acceptedAt := time.Now()
	onAccepted()
	sending.Wait()
	r.collector.milliseconds(variant, "AcceptToLastAnswer", max(0, recorder.last().Sub(acceptedAt)))
	r.collector.milliseconds(variant, "PublishToLastAnswer", max(0, recorder.last().Sub(requestedAt)))
	r.collector.errors(variant, recorder.errorsByCode)
	if ctx.Err() != nil {
		return errors.New("sessions of the withdrawn key were still served when the wait ended")
	}
	r.testbed.demo.Platform().SetOutage(standin.OutageNone)
	version, err := r.publish(context.WithoutCancel(ctx), func(s *sheet.Sheet) { findWorkspace(s, key.Workspace).Keys = oldKeys })
	if err != nil {
		return err
	}
	return r.awaitVersion(context.WithoutCancel(ctx), version)
}

// findWorkspace returns the workspace in the sheet, or nil.
func findWorkspace(s *sheet.Sheet, id fleet.WorkspaceID) *sheet.Workspace {
	for i := range s.Workspaces {
		if s.Workspaces[i].Workspace == id {
			return &s.Workspaces[i]
		}
	}
	return nil
}

// answerRecorder records the last successful answer that any of several sessions got,
// and their errors.
type answerRecorder struct {
	mu           sync.Mutex
	errorsByCode map[string]int64
	lastAnswer   time.Time
}

func newAnswerRecorder() *answerRecorder {
	return &answerRecorder{errorsByCode: make(map[string]int64)}
}

// sendUntilRefused sends requests on an open connection until one fails for another
// reason than the rate limit, or until the context ends.
func (a *answerRecorder) sendUntilRefused(ctx context.Context, s *session) {
	defer s.close()
	for ctx.Err() == nil {
		_, err := s.execOnce(ctx, "SELECT 1")
		a.record(err)
		if err != nil && codeOf(err) != codeRateExceeded {
			return
		}
		if sleep(ctx, writeInterval*4) != nil {
			return
		}
	}
}

func (a *answerRecorder) record(err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		a.errorsByCode[codeOf(err)]++
		return
	}
	a.lastAnswer = time.Now()
}

// last returns when the last successful answer came.
func (a *answerRecorder) last() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastAnswer
}
