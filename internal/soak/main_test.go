package soak

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"fieldrelay/internal/agent"
	"fieldrelay/internal/controlserver"
	"fieldrelay/internal/proxy"
	"fieldrelay/internal/settings"
)

// roleVariable makes the test's program run a process of the system instead of the tests.
const roleVariable = "SOAK_ROLE"

// role is what a process does.
type role string

const (
	roleControl role = "control"
	roleProxy   role = "proxy"
	roleAgent   role = "agent"
)

func TestMain(m *testing.M) {
	if own := role(os.Getenv(roleVariable)); own != "" {
		if err := runRole(own); err != nil {
			fmt.Fprintf(os.Stderr, "%s: %+v\n", own, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// runRole is the life of a process of the system, as the program fieldrelay-region has it, with the links of the soak.
func runRole(own role) error {
	signal.Ignore(syscall.SIGHUP)
	path, err := settings.Path()
	if err != nil {
		return err
	}
	initial, err := settings.Load(path)
	if err != nil {
		return err
	}
	links, err := loadRoutes(os.Getenv(linksVariable))
	if err != nil {
		return err
	}
	logger, err := newLogger()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	go watchStandstills(ctx, func(found standstill) {
		logger.Info(standstillMessage, zap.Int64("from_ns", found.FromNS), zap.Int64("to_ns", found.ToNS))
	})
	feed := initial.Port(feedPort)
	switch own {
	case roleControl:
		return controlserver.RunWith(ctx, initial, logger, controlserver.Options{Dial: links.dial})
	case roleProxy:
		return proxy.RunWith(ctx, initial, logger, proxy.Options{Feed: feed})
	case roleAgent:
		return agent.RunWith(ctx, initial, logger, agent.Options{Proxy: feed, Dial: links.dial, SettingsPath: path})
	default:
		return errors.Newf("no role %q", own)
	}
}

// newLogger writes JSON lines to standard error, as fieldrelay-region does.
func newLogger() (*zap.Logger, error) {
	config := zap.NewProductionConfig()
	config.Sampling = nil
	config.DisableCaller = true
	config.DisableStacktrace = true
	config.OutputPaths = []string{"stderr"}
	return config.Build()
}
