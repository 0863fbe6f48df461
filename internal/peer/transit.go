package peer

import "time"

// sentMessage is when a message was sent to a peer.
type sentMessage struct {
	sequence int64
	at       time.Time
}

// maxSentMessages bounds the messages to a peer of which that is remembered: the peer responds to
// each within milliseconds.
const maxSentMessages = 32

// recordSent records that a message is being sent to the peer.
func (p *peer) recordSent(sequence int64, now time.Time) {
	if len(p.sentMessages) == maxSentMessages {
		p.sentMessages = append(p.sentMessages[:0], p.sentMessages[maxSentMessages/2:]...)
	}
	p.sentMessages = append(p.sentMessages, sentMessage{sequence, now})
}

// maxTransit returns how long a message from the peer was on its way at most: it was composed after
// the message that it says it has received. A path that was cut, or an instance that stood still,
// may deliver a message seconds late. Zero means that the message does not tell.
func (p *peer) maxTransit(m wireMessage, now time.Time) time.Duration {
	if m.ReceivedSequence == 0 || len(p.sentMessages) == 0 {
		return 0
	}
	last := p.sentMessages[len(p.sentMessages)-1]
	if m.ReceivedSequence > last.sequence {
		// It was sent by an earlier start of this instance.
		return 0
	}
	sentAt := p.sentMessages[0].at
	for _, s := range p.sentMessages {
		if s.sequence > m.ReceivedSequence {
			break
		}
		sentAt = s.at
	}
	return max(now.Sub(sentAt)-time.Duration(m.ReceivedAge)*time.Millisecond, 0)
}
