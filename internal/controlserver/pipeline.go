package controlserver

import (
	"sync"

	"github.com/hashicorp/raft"
)

// AppendEntriesPipeline implements raft.Transport. The pipeline ends by itself after the answer at which raft stops to read.
func (t *guardedTransport) AppendEntriesPipeline(id raft.ServerID, target raft.ServerAddress) (raft.AppendPipeline, error) {
	inner, err := t.NetworkTransport.AppendEntriesPipeline(id, target)
	if err != nil {
		return nil, err
	}
	return newEndingPipeline(inner), nil
}

// endingPipeline is a pipeline that closes behind an answer after which nobody reads the further ones. Raft's reader stops
// after an answer without success or of a newer term, and does not tell its sender, which may be waiting for room in the
// pipeline. It would wait without end: nothing is replicated to that follower any more, and raft can't be shut down.
type endingPipeline struct {
	raft.AppendPipeline
	answers chan raft.AppendFuture
	closed  chan struct{}
	closing sync.Once
}

func newEndingPipeline(inner raft.AppendPipeline) *endingPipeline {
	p := &endingPipeline{AppendPipeline: inner, answers: make(chan raft.AppendFuture), closed: make(chan struct{})}
	go p.passOnAnswers()
	return p
}

// Consumer implements raft.AppendPipeline.
func (p *endingPipeline) Consumer() <-chan raft.AppendFuture { return p.answers }

// Close implements raft.AppendPipeline. It may be called more than once.
func (p *endingPipeline) Close() (err error) {
	p.closing.Do(func() {
		close(p.closed)
		err = p.AppendPipeline.Close()
	})
	return err
}

// passOnAnswers passes the answers on to raft's reader, and closes the pipeline once that has read its last one.
func (p *endingPipeline) passOnAnswers() {
	for {
		select {
		case answer := <-p.AppendPipeline.Consumer():
			isLast := isLastAnswer(answer)
			select {
			case p.answers <- answer:
			case <-p.closed:
				return
			}
			if isLast {
				_ = p.Close()
				return
			}
		case <-p.closed:
			return
		}
	}
}

// isLastAnswer reports whether raft's reader stops after an answer. One that could not be read has no success.
func isLastAnswer(answer raft.AppendFuture) bool {
	response := answer.Response()
	return !response.Success || response.Term > answer.Request().Term
}
