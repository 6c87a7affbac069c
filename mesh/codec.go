package mesh

import "encoding/json"

// codecName is the name under which both ends know the encoding.
const codecName = "json"

// codec encodes plain structs, so that messages between instances are ordinary
// Go types and need no generator.
type codec struct{}

// Name implements connect.Codec.
func (codec) Name() string { return codecName }

// Marshal implements connect.Codec.
func (codec) Marshal(v any) ([]byte, error) { return json.Marshal(v) }

// Unmarshal implements connect.Codec.
func (codec) Unmarshal(raw []byte, v any) error { return json.Unmarshal(raw, v) }
