package catalog

import (
	"bytes"
	"strconv"

	pb "fieldrelay/api/fieldrelay/v1"
)

// Configuration returns the configuration in force as JSON, as the operator API returns it: gen first, then the
// members as they were submitted, in their order.
func (s *Snapshot) Configuration() ([]byte, error) {
	var buffer bytes.Buffer
	buffer.Grow(s.bodyBytes())
	buffer.WriteString(`{"` + memberGeneration + `":`)
	buffer.WriteString(strconv.FormatUint(s.generation, 10))
	for _, setting := range s.Items(KindSetting) {
		body := setting.GetBody()
		if isCollection(setting.GetName()) && bytes.Equal(body, emptyList) {
			body = joinList(s.Items(setting.GetName()))
		}
		if err := writeMember(&buffer, setting.GetName(), body); err != nil {
			return nil, err
		}
	}
	buffer.WriteByte('}')
	return buffer.Bytes(), nil
}

// memberOverhead is the number of bytes that a list needs for each item in addition to its body.
const memberOverhead = 2

// bodyBytes estimates the size of the configuration in bytes.
func (s *Snapshot) bodyBytes() int {
	total := 1 << 10
	for _, itemRange := range s.ranges {
		for _, item := range itemRange.items {
			if isOperatorKind(item.GetKind()) {
				total += len(item.GetBody()) + memberOverhead
			}
		}
	}
	return total
}

// joinList returns a list of the items' bodies.
func joinList(items []*pb.Item) []byte {
	var buffer bytes.Buffer
	buffer.WriteByte('[')
	for index, item := range items {
		if index > 0 {
			buffer.WriteByte(',')
		}
		buffer.Write(item.GetBody())
	}
	buffer.WriteByte(']')
	return buffer.Bytes()
}
