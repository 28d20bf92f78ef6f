package quota

// LimitReport is a holder's report on one limit.
type LimitReport struct {
	Limit  string `cbor:"1,keyasint"`
	Leased Unit   `cbor:"2,keyasint,omitempty"` // amount that the holder has leased
	Demand Unit   `cbor:"3,keyasint,omitempty"` // amount that the holder could use, including its floor
	Total  Unit   `cbor:"4,keyasint"`           // total of the limit in the holder's settings
}

// Report is sent by a holder to the granter.
type Report struct {
	Seq    uint64        `cbor:"1,keyasint"` // increments from a random number
	Limits []LimitReport `cbor:"2,keyasint"`
}

// Share is the amount of one limit that a granter leases to a holder.
type Share struct {
	Limit  string `cbor:"1,keyasint"`
	Amount Unit   `cbor:"2,keyasint,omitempty"`
}

// Grant is the answer to a Report.
type Grant struct {
	Seq    uint64  `cbor:"1,keyasint"` // sequence number of the report
	Term   Term    `cbor:"2,keyasint"`
	Shares []Share `cbor:"3,keyasint"`
}

// Term identifies the term of a granter. Later terms compare higher, by Era first.
type Term struct {
	Era  uint64 `cbor:"1,keyasint,omitempty"`
	Term uint64 `cbor:"2,keyasint,omitempty"`
}

// before reports whether t is earlier than u.
func (t Term) before(u Term) bool { return t.Era < u.Era || t.Era == u.Era && t.Term < u.Term }
