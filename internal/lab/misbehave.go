package lab

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"time"

	"golang.org/x/sys/unix"
	"google.golang.org/protobuf/proto"

	"ferryfront.example/ferryfront/internal/handover"
	"ferryfront.example/ferryfront/internal/handover/pb"
	"ferryfront.example/ferryfront/internal/handover/phase"
)

// Misbehave is a successor that fails in a stated way. It speaks the messages over the socket that it was
// started with, one packet each.
func Misbehave(how string) error {
	fd, err := strconv.Atoi(os.Getenv(handover.DescriptorEnv))
	if err != nil {
		return errors.New("no old process has started this one")
	}
	if err := unix.SetNonblock(fd, false); err != nil {
		return err
	}
	hello := &pb.Hello{Protocol: phase.Protocol, Version: "misbehaving", Pid: int64(os.Getpid())}
	switch how {
	case "hangs-at-start":
		return hang()
	case "garbage":
		if _, err := unix.Write(fd, []byte("\x00not a message at all")); err != nil {
			return err
		}
		return hang()
	case "other-protocol":
		hello.Protocol = 99
	}
	if err := say(fd, &pb.Envelope{Body: &pb.Envelope_Hello{Hello: hello}}); err != nil {
		return err
	}
	switch how {
	case "exits-after-hello":
		os.Exit(7)
	case "closes-after-hello": // and lives on
		if err := unix.Close(fd); err != nil {
			return err
		}
		return hang()
	case "hangs-before-prepared", "other-protocol":
		return hang()
	case "skips-a-phase":
		if err := say(fd, &pb.Envelope{Body: &pb.Envelope_Restored{Restored: &pb.Restored{}}}); err != nil {
			return err
		}
		return hang()
	case "hangs-while-copying", "hangs-after-snapshot":
		if err := say(fd, &pb.Envelope{Body: &pb.Envelope_Prepared{Prepared: &pb.Prepared{}}}); err != nil {
			return err
		}
		return listen(fd, how == "hangs-after-snapshot")
	}
	return fmt.Errorf("no way %q to misbehave", how)
}

func say(fd int, e *pb.Envelope) error {
	b, err := proto.Marshal(e)
	if err != nil {
		return err
	}
	_, err = unix.Write(fd, append([]byte{0}, b...))
	return err
}

// listen reads all that comes and answers, at most, that all customers are in place.
func listen(fd int, caughtUp bool) error {
	b := make([]byte, 64<<10)
	for end := time.Now().Add(hangMost); time.Now().Before(end); {
		n, err := unix.Read(fd, b)
		if err != nil || n == 0 {
			return err
		}
		e := &pb.Envelope{}
		if caughtUp && proto.Unmarshal(b[1:n], e) == nil && e.GetMark() != nil {
			if err := say(fd, &pb.Envelope{Body: &pb.Envelope_CaughtUp{CaughtUp: &pb.CaughtUp{}}}); err != nil {
				return err
			}
		}
	}
	return nil
}

// hangMost bounds the life of one that nobody kills.
const hangMost = 20 * time.Second

func hang() error {
	time.Sleep(hangMost)
	return errors.New("nobody has ended this process")
}
