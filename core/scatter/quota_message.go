package scatter

import (
	"time"

	"github.com/samphirebeam/samphirebeam/core"
)

// QuotaWant is how many tokens of a team a host wants, and how many of those granted to
// it before were not used.
type QuotaWant struct {
	Team             TeamID
	Tokens, Returned int
}

// QuotaGrant is the reply to a want. If not all tokens are granted, Wait is the time
// until there is one. Declined is true if the host does not decide on the team.
type QuotaGrant struct {
	Team     TeamID
	Tokens   int
	Wait     time.Duration
	Declined bool
}

// QuotaRequest asks a host for tokens. Number names the request among those of this
// host since Started, in unix microseconds.
type QuotaRequest struct {
	To        Host
	Number    uint64
	Started   int64
	Wants     []QuotaWant
	Forwarded bool // on behalf of other hosts
}

// QuotaReply answers the request that another host sent with the ID.
type QuotaReply struct {
	ID     uint64
	Grants []QuotaGrant
}

// QuotaGranted is the end of a QuotaRequest.
type QuotaGranted struct {
	From   core.HostID
	Number uint64
	Grants []QuotaGrant
	// Failed is true if there was no reply; Cause says why, for the log.
	Failed bool
	Cause  string
	// Refused is true if the host's address refused the connection.
	Refused bool
}

// QuotaAsked is a request of another host, which the QuotaReply with the same ID
// answers.
type QuotaAsked struct {
	ID        uint64
	From      core.HostID
	Number    uint64
	Started   int64
	Wants     []QuotaWant
	Forwarded bool
}

func (QuotaGranted) isEvent() {}
func (QuotaAsked) isEvent()   {}
