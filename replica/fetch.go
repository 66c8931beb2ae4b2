package replica

import (
	"context"

	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/delta"
	"celeryreach.example/celeryreach/wire"
)

// Answer handles a peer's request for newer content. It returns the deltas if all
// of them are still kept and together smaller than the content, otherwise one piece
// of the full content.
func (r *Replica) Answer(f *wire.FetchRequest) *wire.FetchResponse {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.version <= f.Have {
		return &wire.FetchResponse{}
	}
	a := &wire.FetchResponse{Version: r.version, Hash: r.hash, Total: uint64(len(r.content))}
	if s, ok := r.stepsSince(f.Have); ok && f.HaveHash != "" {
		a.Steps = s
		return a
	}
	o := uint64(0)
	if f.Hash == r.hash && f.Offset < a.Total {
		o = f.Offset
	}
	a.Content = r.content[o:min(o+maxPieceBytes, a.Total)]
	return a
}

// stepsSince returns the deltas from a version to the one in force. It returns
// false if some of these deltas are no longer kept, or if they are together not
// smaller than the content.
func (r *Replica) stepsSince(version uint64) ([]*wire.Step, bool) {
	n := r.version - version
	if n > uint64(len(r.steps)) {
		return nil, false
	}
	s := r.steps[uint64(len(r.steps))-n:]
	z := 0
	for _, x := range s {
		z += len(x.Delta)
	}
	return s, z < len(r.content)
}

// Fetch takes newer content from one peer. The content is verified against its
// hash; if it is damaged or forged, Fetch returns an error and the caller tries
// another peer. If applying the deltas does not yield the hash, the full content is
// requested once, since this host's own content may be the one that differs.
func (r *Replica) Fetch(ctx context.Context, ask func(ctx context.Context, f *wire.FetchRequest) (*wire.FetchResponse, error)) error {
	v := r.CurrentVersion()
	f := &wire.FetchRequest{Kind: r.Kind, Have: v.Version, HaveHash: v.Hash}
	var b []byte
	for {
		a, err := ask(ctx, f)
		if err != nil || a.Version <= f.Have {
			return err
		}
		if len(a.Steps) > 0 {
			if err := r.applySteps(f.Have, a); err == nil || f.HaveHash == "" {
				return err
			}
			f.HaveHash = ""
			continue
		}
		if a.Hash != f.Hash {
			// The peer has a newer version now, so the pieces received so far are
			// useless.
			b = nil
		}
		if len(a.Content) == 0 || uint64(len(b)+len(a.Content)) > a.Total {
			return errors.Errorf("%s %d: received piece is empty or exceeds the announced size", r.Kind, a.Version)
		}
		b = append(b, a.Content...)
		if uint64(len(b)) == a.Total {
			return r.install(a.Version, a.Hash, b, nil)
		}
		f.Hash = a.Hash
		f.Offset = uint64(len(b))
	}
}

// applySteps applies the deltas of a response to the content with version have.
func (r *Replica) applySteps(have uint64, a *wire.FetchResponse) error {
	v, _, b := r.Content()
	if v != have {
		return nil // another source was faster; peers' later digests show whether a version is still missing
	}
	for i, s := range a.Steps {
		if s.Version != have+uint64(i)+1 {
			return errors.Errorf("%s: deltas are not consecutive at version %d", r.Kind, s.Version)
		}
		n, err := delta.Apply(b, s.Delta)
		if err != nil {
			return errors.Wrap(err, r.Kind)
		}
		b = n
	}
	return r.install(a.Version, a.Hash, b, a.Steps)
}
