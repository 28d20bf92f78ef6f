package agent

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"fieldrelay/internal/region/catalog"
)

// A message with the largest configuration, and with much else beside it, is within the limit on messages.
func TestLargestConfigurationFitsIntoAMessage(t *testing.T) {
	assert.LessOrEqual(t, catalog.MaxConfigurationBytes, maxMessageBytes/2)
}
