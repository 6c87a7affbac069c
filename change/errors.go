package change

// casConflictError reports that the key changed between the read and the write.
type casConflictError struct{}

// Error implements error.
func (*casConflictError) Error() string {
	return "the resource changed meanwhile"
}
