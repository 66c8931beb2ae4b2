package host

import "context"

// connections closes the host's own connections last, when no part uses them
// any more.
func (x *parts) connections(ctx context.Context) error {
	<-ctx.Done()
	x.peerclient.Close()
	x.dispatch.Upstream.Close()
	return nil
}
