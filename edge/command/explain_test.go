package command

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/samphirebeam/samphirebeam/edge"
)

// TestBadInputOfExplain guards against bad input that is sent to a host, or that is not told
// apart from a host that does not answer.
func TestBadInputOfExplain(t *testing.T) {
	key := filepath.Join(t.TempDir(), "key")
	if err := os.WriteFile(key, []byte("two words\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	good := []string{"-host", "h.example", "-path", "/x/"}
	for _, args := range [][]string{
		{},
		{"-host", "h.example"},
		{"-path", "/x/"},
		{"-host", "h/x", "-path", "/x"},
		{"-host", "h", "-path", "x"},
		append([]string{"-method", "GET IT"}, good...), append([]string{"-key-file", key}, good...),
		append([]string{"-key-file", key + "-none"}, good...), append([]string{"-address", "nowhere"}, good...), append(good, "more"),
	} {
		err := explainCommand().ParseAndRun(context.Background(), args)
		if !errors.As(err, new(inputError)) {
			t.Errorf("%q: %v", args, err)
		}
	}
}

// TestExplainPrints checks the text of an answer, and the error for a host that refuses the
// request as bad input.
func TestExplainPrints(t *testing.T) {
	status := http.StatusOK
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(`{"host":"h1","role":"gatherer","config_version":7,"decision":"answer","route":"r1","team":"gold",` +
			`"services":[{"service":"s1","queued":2,"upstreams":[{"upstream":"i-1","failure_domain":"d1","cost":1.5,"unusable":"draining"}]}]}`))
	}))
	defer host.Close()
	address := strings.TrimPrefix(host.URL, "http://")
	var out bytes.Buffer
	if err := explain(context.Background(), address, edge.ExplainRequest{}, false, &out); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"answer", "h1 (gatherer), configuration 7", "r1", "gold", "i-1 in d1", "draining"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing in\n%s", want, out.String())
		}
	}
	status = http.StatusBadRequest
	if err := explain(context.Background(), address, edge.ExplainRequest{}, false, &out); !errors.As(err, new(inputError)) {
		t.Errorf("after status 400: %v", err)
	}
}
