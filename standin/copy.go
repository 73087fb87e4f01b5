package standin

// copyStatement runs a COPY statement.
func (c *session) copyStatement(*statement, bool) error {
	return newSQLError(codeFeatureUnsupported, "COPY is not supported")
}
