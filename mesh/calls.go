package mesh

import (
	"context"
	"net/http"

	"connectrpc.com/connect"
)

const (
	// minGzipBytes is the size from which on requests are compressed; responses are in any case.
	// Probes without updates are smaller.
	minGzipBytes = 1 << 10
	// maxMessageBytes bounds a response: a page of results or the list of a large fleet's records.
	maxMessageBytes = 64 << 20
)

// Handle returns a handler for a typed unary call between instances.
func Handle[Req, Res any](path string, f func(context.Context, *Req) (*Res, error)) http.Handler {
	return connect.NewUnaryHandler(path, func(ctx context.Context, r *connect.Request[Req]) (*connect.Response[Res], error) {
		out, err := f(ctx, r.Msg)
		if err != nil {
			return nil, err
		}
		return connect.NewResponse(out), nil
	}, connect.WithCodec(codec{}))
}

// Call makes a typed unary call to the instance at addr.
func Call[Req, Res any](ctx context.Context, client *http.Client, addr, path string, in *Req) (*Res, error) {
	c := connect.NewClient[Req, Res](client, "http://"+addr+path, connect.WithCodec(codec{}), connect.WithSendGzip(), connect.WithCompressMinBytes(minGzipBytes),
		connect.WithReadMaxBytes(maxMessageBytes))
	res, err := c.CallUnary(ctx, connect.NewRequest(in))
	if err != nil {
		return nil, err
	}
	return res.Msg, nil
}

// Client returns the HTTP client for calls to peers.
func (m *Mesh) Client() *http.Client { return m.client }
