package backend

// unknownProfile is the profile of a connection whose settings aren't known.
const unknownProfile = "\x00"

// Adopt makes the session state of the connection that of the given owner.
// Profile is the SQL that sets the owner's settings, or empty. State that
// another owner left behind is discarded first.
func (c *Conn) PrepareFor(owner uint64, profile string) error {
	if c.touched && c.owner != owner {
		if err := c.Exec("DISCARD ALL"); err != nil {
			c.broken = true
			return err
		}
		c.ClearPrepared()
		c.profile = ""
		c.touched = false
	}
	c.owner = owner
	if c.profile == profile {
		return nil
	}
	sql := "RESET ALL"
	if profile != "" {
		sql += ";" + profile
	}
	if c.profile == "" {
		sql = profile
	}
	c.profile = unknownProfile
	if err := c.Exec(sql); err != nil {
		return err
	}
	c.profile = profile
	return nil
}

// Forget says that the connection holds no prepared statement any more.
func (c *Conn) ClearPrepared() {
	clear(c.prepared)
	c.unnamed = ""
}

// HasPrepared reports whether the connection holds the named statement.
func (c *Conn) HasPrepared(name string) bool {
	_, found := c.prepared[name]
	return found
}

// Prepared returns the number of prepared statements on the connection.
func (c *Conn) PreparedCount() int {
	return len(c.prepared)
}

// Retire keeps the connection from being reused.
func (c *Conn) MarkBroken() {
	c.broken = true
}

// SetPrepared notes whether the connection holds the named statement.
func (c *Conn) SetPrepared(name string, held bool) {
	if held {
		c.prepared[name] = struct{}{}
		return
	}
	delete(c.prepared, name)
}

// SetSettings notes the settings that statements have put into effect.
func (c *Conn) SetSettings(profile string) {
	c.profile = profile
}

// SetSettingsUnknown notes that the settings must be set anew before the next use.
func (c *Conn) SetSettingsUnknown() {
	c.profile = unknownProfile
}

// SetUnnamedStatement notes which statement the unnamed one is. Empty means unknown.
func (c *Conn) SetUnnamedStatement(key string) {
	c.unnamed = key
}

// Touch notes that the session state may have changed unseen, so that it is
// discarded before another owner uses the connection.
func (c *Conn) MarkStateChanged() {
	c.touched = true
}

// Unnamed returns the key of the unnamed statement, or empty.
func (c *Conn) UnnamedStatement() string {
	return c.unnamed
}
