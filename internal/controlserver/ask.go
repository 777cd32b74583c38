package controlserver

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strings"
	"time"

	"ferryfront.example/ferryfront/internal/controlgroup"
)

const askTimeout = 3 * time.Second // for one request or one attempt of a proposal, unless the context ends before

// Ask sends one request to a replica and returns its answer. An answer that tells of an error comes as that error.
func Ask(ctx context.Context, address string, request Request) (Response, error) {
	var response Response
	conn, stop, err := dial(ctx, address, askTimeout)
	if err != nil {
		return response, err
	}
	defer stop()
	line, err := json.Marshal(request)
	if err != nil {
		return response, err
	}
	if _, err := conn.Write(append(line, '\n')); err != nil {
		return response, err
	}
	if err := json.NewDecoder(conn).Decode(&response); err != nil {
		return response, fmt.Errorf("%s: %w", address, err)
	}
	if response.Error != "" {
		return response, errors.New(response.Error)
	}
	return response, nil
}

// ProposeTo proposes a version at one replica. An error means that no answer came: what became of the proposal is not
// known, and it may be made again.
func ProposeTo(ctx context.Context, address string, p controlgroup.Propose) (controlgroup.ProposeResult, error) {
	var result controlgroup.ProposeResult
	conn, stop, err := dial(ctx, address, proposalTimeout+time.Second)
	if err != nil {
		return result, err
	}
	defer stop()
	if _, err := conn.Write(controlgroup.Append(nil, p)); err != nil {
		return result, err
	}
	frames := &frameReader{from: bufio.NewReader(conn)}
	for {
		m, err := frames.next()
		if err != nil {
			return result, fmt.Errorf("%s: %w", address, err)
		}
		if r, ok := m.(controlgroup.ProposeResult); ok && r.Request == p.Request {
			return r, nil
		}
	}
}

// dial connects, with a limit for all that follows; stop ends the connection.
func dial(ctx context.Context, address string, limit time.Duration) (conn net.Conn, stop func(), err error) {
	dialer := net.Dialer{Timeout: askTimeout}
	conn, err = dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, nil, err
	}
	cancel := context.AfterFunc(ctx, func() { _ = conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(limit)); err != nil {
		_ = conn.Close()
		return nil, nil, err
	}
	return conn, func() { cancel(); _ = conn.Close() }, nil
}

const (
	retryFirst = 50 * time.Millisecond
	retryMost  = time.Second
)

// Propose proposes a version at one replica after the other, until one answers for good or the context ends. Without
// an error the version is in force, committed by a quorum.
func Propose(ctx context.Context, addresses []string, p controlgroup.Propose) error {
	if err := validate(p); err != nil { // also what no frame could carry
		return err
	}
	return retry(ctx, addresses, func(address string) (again bool, err error) {
		p.Request++
		result, err := ProposeTo(ctx, address, p)
		if err != nil || result.Error == "" {
			return err != nil, err
		}
		return Retryable(result), errors.New(result.Error)
	})
}

// ReplaceReplica has the leader replace a replica by one that runs on an empty data directory.
func ReplaceReplica(ctx context.Context, addresses []string, old string, with Replica) error {
	request := Request{Op: OpReplace, Old: old, With: &with}
	return retry(ctx, addresses, func(address string) (again bool, err error) {
		response, err := Ask(ctx, address, request)
		refused := response.Error != "" && !strings.HasPrefix(response.Error, unavailable)
		return !refused, err
	})
}

// retry makes attempts at one address after the other, with a backoff after each round, until one succeeds or tells
// that another makes no sense. The error is the last one.
func retry(ctx context.Context, addresses []string, attempt func(address string) (again bool, err error)) error {
	var last error
	for backoff := retryFirst; ; backoff = min(2*backoff, retryMost) {
		for _, address := range addresses {
			again, err := attempt(address)
			if err == nil || !again {
				return err
			}
			last = err
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("given up: %w", last)
		case <-time.After(backoff):
		}
	}
}
