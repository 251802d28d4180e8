package platform

import (
	"context"
	"net/http"
	"net/url"
	"strings"
)

// ObjectPath is the prefix of object paths, below the base URL.
const ObjectPath = "/objects/v1/"

// ObjectsClient is the HTTP client of the object store. Reads that fail are
// repeated with jittered delays; writes are sent once.
type ObjectsClient struct{ client *client }

var _ Objects = (*ObjectsClient)(nil)

// NewObjects returns a client of the object store at cfg.URL.
func NewObjects(cfg Config) *ObjectsClient { return &ObjectsClient{client: newClient(cfg)} }

// Close releases the idle connections.
func (o *ObjectsClient) Close() { o.client.close() }

// Get returns the object, ErrNotFound or ErrUnavailable.
func (o *ObjectsClient) Get(ctx context.Context, key string) (Object, error) {
	resp, err := o.client.read(ctx, request{method: http.MethodGet, path: objectPath(key)})
	if err != nil {
		return Object{}, err
	}
	return Object{Key: key, ETag: resp.header.Get("ETag"), Body: resp.body}, nil
}

// Head returns the entity tag of the object, ErrNotFound or ErrUnavailable.
func (o *ObjectsClient) Head(ctx context.Context, key string) (string, error) {
	resp, err := o.client.read(ctx, request{method: http.MethodHead, path: objectPath(key)})
	if err != nil {
		return "", err
	}
	return resp.header.Get("ETag"), nil
}

// Put writes the object and returns its new entity tag. It returns
// ErrConflict, ErrUnavailable or ErrOutcomeUnknown.
func (o *ObjectsClient) Put(ctx context.Context, key string, body []byte, ifMatch string) (string, error) {
	header := http.Header{"Content-Type": {"application/octet-stream"}}
	switch ifMatch {
	case "":
	case IfAbsent:
		header.Set("If-None-Match", "*")
	default:
		header.Set("If-Match", ifMatch)
	}
	resp, err := o.client.write(ctx, request{method: http.MethodPut, path: objectPath(key), header: header, body: body})
	if err != nil {
		return "", err
	}
	return resp.header.Get("ETag"), nil
}

func objectPath(key string) string {
	segments := strings.Split(key, "/")
	for i, s := range segments {
		segments[i] = url.PathEscape(s)
	}
	return ObjectPath + strings.Join(segments, "/")
}
