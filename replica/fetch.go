package replica

import (
	"context"

	"github.com/pkg/errors"

	"celeryreach.example/celeryreach/delta"
	"celeryreach.example/celeryreach/wire"
)

// Answer answers a peer's question for newer content: by steps when all of
// them are still known and shorter than the content, else by a piece of the
// whole.
func (r *Replica) Answer(f *wire.FetchRequest) *wire.FetchResponse {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.version <= f.Have {
		return &wire.FetchResponse{}
	}
	a := &wire.FetchResponse{Version: r.version, Hash: r.hash, Total: uint64(len(r.content))}
	if s, ok := r.since(f.Have); ok && f.HaveHash != "" {
		a.Steps = s
		return a
	}
	o := uint64(0)
	if f.Hash == r.hash && f.Offset < a.Total {
		o = f.Offset
	}
	a.Content = r.content[o:min(o+pieceBytes, a.Total)]
	return a
}

// since returns the steps that lead from a version to the one in force.
func (r *Replica) since(version uint64) ([]*wire.Step, bool) {
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

// Fetch takes newer content from one peer. What a peer sends is checked
// against the hash; a torn or forged answer is refused with an error, and the
// caller asks another peer. Steps that do not lead to the hash are followed by
// one question for the whole content, since the own content may be the odd one.
func (r *Replica) Fetch(ctx context.Context, ask func(ctx context.Context, f *wire.FetchRequest) (*wire.FetchResponse, error)) error {
	v := r.Digest()
	f := &wire.FetchRequest{Kind: r.Kind, Have: v.Version, HaveHash: v.Hash}
	var b []byte
	for {
		a, err := ask(ctx, f)
		if err != nil || a.Version <= f.Have {
			return err
		}
		if len(a.Steps) > 0 {
			if err := r.follow(f.Have, a); err == nil || f.HaveHash == "" {
				return err
			}
			f.HaveHash = ""
			continue
		}
		if a.Hash != f.Hash {
			// The peer moved on, so the pieces so far lead nowhere.
			b = nil
		}
		if len(a.Content) == 0 || uint64(len(b)+len(a.Content)) > a.Total {
			return errors.Errorf("%s %d: a piece does not fit", r.Kind, a.Version)
		}
		b = append(b, a.Content...)
		if uint64(len(b)) == a.Total {
			return r.put(a.Version, a.Hash, b, nil)
		}
		f.Hash = a.Hash
		f.Offset = uint64(len(b))
	}
}

// follow applies steps.
func (r *Replica) follow(have uint64, a *wire.FetchResponse) error {
	v, _, b := r.Content()
	if v != have {
		return nil // another source was faster; the digests tell what is left
	}
	for i, s := range a.Steps {
		if s.Version != have+uint64(i)+1 {
			return errors.Errorf("%s: the steps have a gap at %d", r.Kind, s.Version)
		}
		n, err := delta.Apply(b, s.Delta)
		if err != nil {
			return errors.Wrap(err, r.Kind)
		}
		b = n
	}
	return r.put(a.Version, a.Hash, b, a.Steps)
}
