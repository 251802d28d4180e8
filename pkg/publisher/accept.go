package publisher

import (
	"context"
	"errors"

	"go.uber.org/zap"

	"github.com/lentilflow/lentilflow/pkg/model"
	"github.com/lentilflow/lentilflow/pkg/platform"
	"github.com/lentilflow/lentilflow/pkg/rules"
)

// unchangedFile is a rules file that needed no write at these revisions.
type unchangedFile struct {
	tag                            string
	headRevision, rejectedRevision uint64
}

// poll looks at the rules file and carries out what becomes of it.
func (p *Publisher) poll(ctx context.Context) error {
	tag, err := p.cfg.Objects.Head(ctx, RulesObject)
	if errors.Is(err, platform.ErrNotFound) {
		return nil
	}
	if err != nil {
		return translate(err)
	}
	if p.view.settledTag(tag) || p.unchanged == p.unchangedAt(tag) {
		return nil
	}
	file, err := p.cfg.Objects.Get(ctx, RulesObject)
	if err != nil {
		return translate(err)
	}
	faults := p.check(file.Body)
	digest := digestOf(file.Body)
	if len(faults) == 0 {
		if err := p.storeText(ctx, digest, file.Body); err != nil {
			return err
		}
	}
	now := p.now()
	if !p.lease.holds(now) {
		return nil
	}
	by := author{node: p.cfg.Node, generation: p.lease.row.Generation, now: now.UTC().Round(0)}
	return p.carryOut(ctx, decide(p.view, file.ETag, digest, faults, by), file)
}

func (p *Publisher) unchangedAt(tag string) unchangedFile {
	return unchangedFile{tag, p.view.headRevision, p.view.rejectedRevision}
}

func (p *Publisher) check(text []byte) []rules.Fault {
	if len(text) > rules.MaxSize {
		return []rules.Fault{tooLarge(RulesObject, len(text))}
	}
	return p.cfg.Check(RulesObject, text)
}

// storeText writes the content-addressed text. A text that exists already, or
// appears although the answer was lost, is the same text.
func (p *Publisher) storeText(ctx context.Context, digest string, text []byte) error {
	_, err := p.cfg.Objects.Put(ctx, textKey(digest), text, platform.IfAbsent)
	switch {
	case err == nil, errors.Is(err, platform.ErrConflict):
		return nil
	case errors.Is(err, platform.ErrOutcomeUnknown):
		_, err = p.cfg.Objects.Head(ctx, textKey(digest))
	}
	return translate(err)
}

// carryOut commits a plan. After a conflict or a lost answer the rows are read
// again; they decide, and the next poll goes on from there.
func (p *Publisher) carryOut(ctx context.Context, planned plan, file platform.Object) error {
	if planned.empty {
		p.unchanged = p.unchangedAt(file.ETag)
		return nil
	}
	_, err := p.cfg.Table.Commit(ctx, planned.transaction)
	if errors.Is(err, platform.ErrUnavailable) {
		return translate(err)
	}
	// The rows are read in any case: after a success for the new revisions.
	if readErr := p.refresh(ctx); readErr != nil {
		return readErr
	}
	switch {
	case err == nil && !planned.accepted:
		p.logResult(planned, file.ETag)
	case planned.accepted && confirms(p.view.head, planned.info):
		p.logResult(planned, file.ETag)
	}
	return nil
}

func (p *Publisher) logResult(planned plan, tag string) {
	if planned.accepted {
		p.cfg.Log.Info("accepted rules file", zap.Uint64("version", uint64(p.view.head.Number)), zap.String("etag", tag))
		return
	}
	p.cfg.Log.Warn("recorded the check of the rules file", zap.String("etag", tag), zap.Int("faults", len(p.view.rejected.Faults)))
}

// refresh reads the head and rejected rows.
func (p *Publisher) refresh(ctx context.Context) error {
	head, headRevision, err := readRow[model.VersionInfo](ctx, p.cfg.Table, headKey)
	if err != nil {
		return err
	}
	rejected, rejectedRevision, err := readRow[model.Rejection](ctx, p.cfg.Table, rejectedKey)
	if err != nil {
		return err
	}
	p.view = view{head: head, headRevision: headRevision, rejected: rejected, rejectedRevision: rejectedRevision}
	return nil
}

// handOver passes the version of the head row to the hook, once. A version
// that the hook refuses does not keep the publisher from accepting the next.
func (p *Publisher) handOver(ctx context.Context) error {
	info := p.view.head
	if info.Number <= p.handed {
		return nil
	}
	v, err := readText(ctx, p.cfg.Objects, info)
	if err != nil {
		return err
	}
	if err := p.cfg.Accept(v); err != nil {
		return err
	}
	p.handed = info.Number
	return nil
}
