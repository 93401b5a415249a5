package daemon

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc/credentials"

	"github.com/samphirebeam/samphirebeam/settings"
)

// peerCredentials holds the TLS credentials of both ends of a peer stream; nil
// disables TLS.
type peerCredentials struct {
	server, client credentials.TransportCredentials
}

// loadCredentials loads the files for mutual TLS. Peers authenticate with a
// certificate that the authority has signed. The names in the certificate are
// not verified, since hosts may be replaced at any time and are addressed by IP.
func loadCredentials(files settings.TLS) (peerCredentials, error) {
	if files.Certificate == "" {
		return peerCredentials{}, nil
	}
	certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return peerCredentials{}, eris.Wrap(err, "peer certificate")
	}
	pem, err := os.ReadFile(files.Authority)
	if err != nil {
		return peerCredentials{}, eris.Wrap(err, "peer authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return peerCredentials{}, eris.Errorf("peer authority: %s contains no certificate", files.Authority)
	}
	shared := tls.Config{
		Certificates: []tls.Certificate{certificate},
		MinVersion:   tls.VersionTLS13,
	}
	server, client := shared.Clone(), shared.Clone()
	server.ClientCAs = pool
	server.ClientAuth = tls.RequireAndVerifyClientCert
	client.InsecureSkipVerify = true // skips the names; VerifyConnection checks the chain
	client.VerifyConnection = func(state tls.ConnectionState) error { return verifyChain(state, pool) }
	return peerCredentials{credentials.NewTLS(server), credentials.NewTLS(client)}, nil
}

// verifyChain checks that the authority has signed the server's certificate.
func verifyChain(state tls.ConnectionState, authority *x509.CertPool) error {
	intermediates := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         authority,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return eris.Wrap(err, "peer certificate")
}
