package backend

// unknownSettings marks a connection whose settings are unknown. It differs from
// any SQL.
const unknownSettings = "\x00"

// PrepareFor prepares the connection for requests of the given owner. settings is
// the SQL that sets the owner's settings, or empty for the defaults. Session state
// that another owner left behind is discarded first.
func (c *Conn) PrepareFor(owner uint64, settings string) error {
	if c.stateChanged && c.owner != owner {
		if err := c.Exec("DISCARD ALL"); err != nil {
			c.broken = true
			return err
		}
		c.ClearPrepared()
		c.settings = ""
		c.stateChanged = false
	}
	c.owner = owner
	if c.settings == settings {
		return nil
	}
	sql := "RESET ALL"
	if settings != "" {
		sql += ";" + settings
	}
	if c.settings == "" {
		sql = settings
	}
	c.settings = unknownSettings
	if err := c.Exec(sql); err != nil {
		return err
	}
	c.settings = settings
	return nil
}

// ClearPrepared records that the connection has no prepared statements any more.
func (c *Conn) ClearPrepared() {
	clear(c.prepared)
	c.unnamedStatement = ""
}

// HasPrepared reports whether the connection has the named prepared statement.
func (c *Conn) HasPrepared(name string) bool {
	_, found := c.prepared[name]
	return found
}

// PreparedCount returns the number of named prepared statements on the connection.
func (c *Conn) PreparedCount() int {
	return len(c.prepared)
}

// MarkBroken keeps the connection from being reused.
func (c *Conn) MarkBroken() {
	c.broken = true
}

// SetPrepared records whether the connection has the named prepared statement.
func (c *Conn) SetPrepared(name string, exists bool) {
	if exists {
		c.prepared[name] = struct{}{}
		return
	}
	delete(c.prepared, name)
}

// SetSettings records the settings that the owner's own statements have set, as SQL
// that would produce them.
func (c *Conn) SetSettings(settings string) {
	c.settings = settings
}

// SetSettingsUnknown makes the next PrepareFor reset the settings and set them
// again.
func (c *Conn) SetSettingsUnknown() {
	c.settings = unknownSettings
}

// SetUnnamedStatement records the key by which the owner identifies the statement
// that is now the unnamed prepared statement. Empty means unknown.
func (c *Conn) SetUnnamedStatement(key string) {
	c.unnamedStatement = key
}

// MarkStateChanged records that the session state may have changed in an untracked
// way, so that it is discarded before another owner uses the connection.
func (c *Conn) MarkStateChanged() {
	c.stateChanged = true
}

// UnnamedStatement returns the key of the unnamed prepared statement, or empty if
// it is unknown.
func (c *Conn) UnnamedStatement() string {
	return c.unnamedStatement
}
