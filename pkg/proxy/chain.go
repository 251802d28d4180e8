package proxy

import (
	"crypto/rand"
	"sync"
	"time"

	"github.com/lentilflow/lentilflow/pkg/model"
)

// link is what a call passes on to the calls that its upstream makes.
type link struct {
	rank     model.Rank
	deadline time.Time
	depth    int
}

// chains holds the tokens of the calls that run at the local upstream.
type chains struct{ tokens sync.Map } // string to link

// open returns a new token for a running call. It holds 130 random bits.
func (c *chains) open(l link) string {
	token := rand.Text()
	c.tokens.Store(token, l)
	return token
}

// close forgets a token once its call has ended.
func (c *chains) close(token string) { c.tokens.Delete(token) }

// find returns the link of a token that this node gave out.
func (c *chains) find(token string) (link, bool) {
	if v, ok := c.tokens.Load(token); ok {
		return v.(link), true
	}
	return link{}, false
}
