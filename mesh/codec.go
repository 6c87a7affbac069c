package mesh

import "encoding/json"

// codecName is the codec name sent in the content type; both ends must use the same.
const codecName = "json"

// codec encodes plain Go structs as JSON, so that messages between instances need no
// code generation.
type codec struct{}

// Name implements connect.Codec.
func (codec) Name() string { return codecName }

// Marshal implements connect.Codec.
func (codec) Marshal(v any) ([]byte, error) { return json.Marshal(v) }

// Unmarshal implements connect.Codec.
func (codec) Unmarshal(raw []byte, v any) error { return json.Unmarshal(raw, v) }
