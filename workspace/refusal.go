package workspace

// RefusalReason says why a request was refused.
type RefusalReason string

// Reasons of refusals.
const (
	// RefusalLimitUnknown means that no instance is known that can prove a share of
	// the limit.
	RefusalLimitUnknown RefusalReason = "LimitUnknown"
	// RefusalOverRate means that the pools of the limit have no tokens.
	RefusalOverRate RefusalReason = "OverRate"
	// RefusalPoolSilent means that an owner of a pool does not answer, and the other
	// pool has no tokens.
	RefusalPoolSilent RefusalReason = "PoolSilent"
)
