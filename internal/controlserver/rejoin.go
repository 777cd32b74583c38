package controlserver

import (
	"context"
	"errors"
	"sync"
	"time"
)

const (
	rejoinPeriod  = 50 * time.Millisecond // between two questions to the other replicas
	rejoinTimeout = time.Second           // for their answers
)

// rejoin opens the voting gate after a start, and starts the group when it is new: an empty store is only bootstrapped
// when each of the others says that it has nothing to lose either.
func (s *Server) rejoin() {
	began := time.Now()
	ticker := time.NewTicker(rejoinPeriod)
	defer ticker.Stop()
	warned := false
	for {
		reports, missing := s.askOthers()
		if s.decideRejoin(reports, missing, time.Since(began)) {
			s.log.Info("taking part in elections", "after", time.Since(began).Round(time.Millisecond))
			return
		}
		if !warned && time.Since(began) > s.cfg.RejoinWait {
			warned = true
			s.log.Warn("waiting: the store is empty, and there is neither a leader nor word of all others")
		}
		select {
		case <-s.context.Done():
			return
		case <-s.node.gate.ready:
		case <-ticker.C:
		}
	}
}

// decideRejoin tells whether the gate is open, with the reports of the others and how many gave none.
func (s *Server) decideRejoin(reports []PositionReport, missing int, waited time.Duration) bool {
	switch {
	case s.node.gate.isOpen():
		return true
	case s.node.fresh:
		if missing > 0 || anyCommands(reports) {
			return false
		}
		if err := s.node.bootstrap(s.cfg.Replicas); err != nil {
			s.log.Warn("bootstrap failed", "error", err)
			return false
		}
		s.log.Info("new group")
		s.node.gate.openAt(position{})
		return true
	case missing > 0 && waited < s.cfg.RejoinWait:
		return false
	case missing > 0:
		s.log.Warn("no leader, and not all other replicas answer: this replica relies on its disk", "missing", missing)
	}
	s.node.gate.openAt(newest(reports))
	return true
}

func anyCommands(reports []PositionReport) bool {
	for _, r := range reports {
		if r.Commands {
			return true
		}
	}
	return false
}

func newest(reports []PositionReport) (end position) {
	for _, r := range reports {
		if end.less(r.position) {
			end = r.position
		}
	}
	return end
}

// askOthers asks all other replicas at the same time where their logs end.
func (s *Server) askOthers() (reports []PositionReport, missing int) {
	ctx, cancel := context.WithTimeout(s.context, rejoinTimeout)
	defer cancel()
	others := s.others()
	answers := make([]*PositionReport, len(others))
	var asking sync.WaitGroup
	for i, address := range others {
		asking.Go(func() {
			if response, err := Ask(ctx, address, Request{Op: OpPosition}); err == nil {
				answers[i] = response.Position
			}
		})
	}
	asking.Wait()
	for _, answer := range answers {
		if answer == nil {
			missing++
			continue
		}
		reports = append(reports, *answer)
	}
	return reports, missing
}

// others returns where the other replicas listen: by the group's own word, or before there is any by the configuration.
func (s *Server) others() (addresses []string) {
	for _, server := range s.node.servers() {
		if server.ID != s.node.id {
			addresses = append(addresses, s.listenAddress(server.ID))
		}
	}
	if len(addresses) > 0 {
		return addresses
	}
	for _, r := range s.cfg.Replicas {
		if r.ID != s.cfg.ID {
			addresses = append(addresses, r.Listen)
		}
	}
	return addresses
}

var errNotCaughtUp = errors.New("this replica takes no part in elections before it is up to date")
