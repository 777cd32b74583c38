package standin

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
)

// An address is given out once, also while nobody listens there yet: another test must not take it in that time.
func TestAFreeAddressIsGivenOutOnce(t *testing.T) {
	addr, err := Free()
	require.NoError(t, err)
	at, err := netip.ParseAddrPort(addr)
	require.NoError(t, err)
	claimed, err := claimPort(int(at.Port()))
	require.NoError(t, err)
	require.False(t, claimed)
}
