package daemon

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/samphirebeam/samphirebeam/core"
	"github.com/samphirebeam/samphirebeam/settings"
)

// authority signs certificates for hosts.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func template(serial int64, ca bool) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber:          big.NewInt(serial),
		Subject:               pkix.Name{CommonName: "test"},
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  ca,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}

func newAuthority(t *testing.T) authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	tmpl := template(1, true)
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return authority{certificate, key}
}

// issue writes the files of one host: a certificate signed by a, and the
// authority that the host trusts.
func (a authority) issue(t *testing.T, trusted authority) settings.TLS {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	der, err := x509.CreateCertificate(rand.Reader, template(2, false), a.certificate, key.Public(), a.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	write := func(name, kind string, der []byte) string {
		file := filepath.Join(dir, name)
		block := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
		if err := os.WriteFile(file, block, 0o600); err != nil {
			t.Fatal(err)
		}
		return file
	}
	return settings.TLS{
		Certificate: write("cert.pem", "CERTIFICATE", der),
		Key:         write("key.pem", "EC PRIVATE KEY", keyDER),
		Authority:   write("ca.pem", "CERTIFICATE", trusted.certificate.Raw),
	}
}

// TestPeerCertificates checks that messages arrive only if each end has a
// certificate of the authority that the other end trusts.
func TestPeerCertificates(t *testing.T) {
	trusted, untrusted := newAuthority(t), newAuthority(t)
	cases := []struct {
		name     string
		sender   settings.TLS
		receiver settings.TLS
		arrives  bool
	}{
		{"both trusted", trusted.issue(t, trusted), trusted.issue(t, trusted), true},
		{"untrusted sender", untrusted.issue(t, trusted), trusted.issue(t, trusted), false},
		{"untrusted receiver", trusted.issue(t, trusted), untrusted.issue(t, trusted), false},
		{"sender without TLS", settings.TLS{}, trusted.issue(t, trusted), false},
		{"receiver without TLS", trusted.issue(t, trusted), settings.TLS{}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			idle := func(_ time.Time, event core.Event, out *core.Actions) { confirmStop(event, out) }
			send := func(now time.Time, event core.Event, out *core.Actions) {
				idle(now, event, out)
				if _, ok := event.(core.HostListed); ok {
					out.Send("b", subQuery(1))
				}
			}
			b := startDaemon(t, "b", idle, func(s *settings.Settings) { s.Peer.TLS = c.receiver })
			a := startDaemon(t, "a", send, func(s *settings.Settings) { s.Peer.TLS = c.sender })
			a.Report(core.HostListed{Hosts: []core.HostInfo{{Host: "b", Address: b.link.Address()}}})
			arrived := func() bool {
				return b.core.received(func(e core.Event) bool { _, ok := e.(core.PeerMessage); return ok })
			}
			lost := func() bool {
				return a.core.received(func(e core.Event) bool { return e == core.Event(core.PeerLost{Host: "b"}) })
			}
			eventually(t, "the message or its loss", func() bool { return arrived() || lost() })
			if arrived() != c.arrives {
				t.Errorf("message arrived: %v", !c.arrives)
			}
		})
	}
}

func TestBadCredentialFiles(t *testing.T) {
	ca := newAuthority(t)
	good := ca.issue(t, ca)
	cases := map[string]settings.TLS{
		"no key":       {Certificate: good.Certificate, Key: "none", Authority: good.Authority},
		"no authority": {Certificate: good.Certificate, Key: good.Key, Authority: "none"},
		"not PEM":      {Certificate: good.Certificate, Key: good.Key, Authority: good.Key},
	}
	for name, files := range cases {
		if _, err := loadCredentials(files); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}
