package mesh

import (
	"bufio"
	"net/http"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"
)

// Metrics are the samples of one scrape, by name with labels.
type Metrics map[string]float64

// scrape reads the text format of Prometheus.
func scrape(url string) (Metrics, error) {
	resp, err := client.Get(url)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, merry.Errorf("%s: %s", url, resp.Status)
	}
	m := make(Metrics)
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if at := strings.LastIndexByte(lines.Text(), ' '); at > 0 && lines.Text()[0] != '#' {
			m[lines.Text()[:at]], _ = strconv.ParseFloat(lines.Text()[at+1:], 64)
		}
	}
	return m, lines.Err()
}

// Sum adds the samples of a metric that have all the labels, each written as
// name="value".
func (m Metrics) Sum(name string, labels ...string) float64 {
	var sum float64
	for key, v := range m {
		if base, rest, _ := strings.Cut(key, "{"); base == name && hasAll(rest, labels) {
			sum += v
		}
	}
	return sum
}

func hasAll(text string, labels []string) bool {
	for _, l := range labels {
		if !strings.Contains(text, l) {
			return false
		}
	}
	return true
}
