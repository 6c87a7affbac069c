package change

// retryError says that the key changed between reading and writing.
type retryError struct{}

// Error implements error.
func (*retryError) Error() string {
	return "the resource changed meanwhile"
}
