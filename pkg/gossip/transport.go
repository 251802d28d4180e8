package gossip

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"go.uber.org/zap"

	"github.com/lentilflow/lentilflow/pkg/config"
	"github.com/lentilflow/lentilflow/pkg/fleet"
	"github.com/lentilflow/lentilflow/pkg/h1"
	"github.com/lentilflow/lentilflow/pkg/text"
)

const (
	// minCompressedSize is the size from which a response is compressed, in bytes.
	// A digest has 400 bytes, a configuration of 1,400 routes 400,000.
	minCompressedSize = 2 << 10
	// compressedType is the content type of compressed JSON.
	compressedType = "application/zstd"
)

// messageDialTimeout bounds the opening of a connection to the message listener
// of another node. An open connection ends if data that was sent stays
// unacknowledged for as long.
const messageDialTimeout = 500 * time.Millisecond

// NewClient returns the client for messages to other nodes. It does not reuse
// connections, because it rarely sends a request to the same node.
func NewClient() *http.Client {
	live := h1.Liveness{DialTimeout: messageDialTimeout, ProbeInterval: time.Second, UserTimeout: messageDialTimeout}
	return &http.Client{Transport: &h1.Transport{Dial: live.Dialer()}}
}

// writeUpdate sends u as JSON, compressed if it is large. A configuration in it
// is already compressed and does not count.
func writeUpdate(c echo.Context, u *Update) error {
	body, err := json.Marshal(u)
	if err != nil {
		return err
	}
	if len(body)-len(u.Configuration)*4/3 < minCompressedSize || len(body) > maxMessageBytes {
		return c.JSONBlob(http.StatusOK, body)
	}
	compressed, err := text.Compress(body)
	if err != nil {
		return err
	}
	return c.Blob(http.StatusOK, compressedType, compressed)
}

// compressConfiguration returns a configuration as compressed JSON, or nil if
// it is too large. Compression takes longer than the rest of a response, so the
// result for the last version is cached.
func (n *Node) compressConfiguration(c *config.Configuration) []byte {
	n.compressMu.Lock()
	defer n.compressMu.Unlock()
	if n.compressionSource == c {
		return n.compressedConfig
	}
	plain, err := json.Marshal(c)
	if err == nil && len(plain) > maxMessageBytes {
		err = fmt.Errorf("configuration has %d bytes, the limit is %d", len(plain), maxMessageBytes)
	}
	var body []byte
	if err == nil {
		body, err = text.Compress(plain)
	}
	if err != nil {
		n.Log.Error("configuration cannot be sent to other nodes", zap.Uint64("version", uint64(c.Version)), zap.Error(err))
	}
	n.compressionSource, n.compressedConfig = c, body
	return body
}

// readResponse returns the JSON of a response of writeUpdate.
func readResponse(resp *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxMessageBytes))
	if err == nil && resp.Header.Get(echo.HeaderContentType) == compressedType {
		return text.Decompress(body, maxMessageBytes)
	}
	return body, err
}

// decodeCompressed decodes compressed JSON.
func decodeCompressed(compressed []byte, into any) error {
	plain, err := text.Decompress(compressed, maxMessageBytes)
	if err != nil {
		return err
	}
	return json.Unmarshal(plain, into)
}

func readMessage(c echo.Context, into any) error {
	return json.NewDecoder(io.LimitReader(c.Request().Body, maxMessageBytes)).Decode(into)
}

// post sends a message and stores the JSON of the response in response unless that
// is nil. If ctx has no deadline, messageTimeout applies.
func (n *Node) post(ctx context.Context, m fleet.Member, path string, message any, response *[]byte) error {
	body, err := json.Marshal(message)
	if err != nil {
		return err
	}
	if _, bounded := ctx.Deadline(); !bounded {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, messageTimeout)
		defer cancel()
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.MessageAddress+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", echo.MIMEApplicationJSON)
	resp, err := n.Client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("node %s responded with status %s", m.Node, resp.Status)
	}
	if response == nil {
		return nil
	}
	*response, err = readResponse(resp)
	return err
}
