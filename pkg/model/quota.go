package model

// QuotaState is what a node reports about the limits of teams.
type QuotaState struct {
	// Weight is the share of every limit that the node is entitled to, 0 while it may not
	// use one. Settled says whether every other node is known to count this one, and
	// Nodes is how many nodes it counts.
	Weight  float64 `json:"weight"`
	Settled bool    `json:"settled"`
	Nodes   int     `json:"nodes"`
	// Holds is the share of the limits that nodes have delegated to this one, by class of
	// teams. DelegatesTo is the node to which this one delegates its share of each class.
	Holds       []float64 `json:"holds"`
	DelegatesTo []NodeID  `json:"delegates_to"`
	// Teams are the teams with the most requests at this node lately.
	Teams []QuotaUse `json:"teams,omitempty"`
}

// QuotaUse is the use of the limit of one team at one node.
type QuotaUse struct {
	Team    string `json:"team"`
	Class   int    `json:"class"`
	Waiting int    `json:"waiting,omitempty"` // requests that wait for a token
	// The rates are in requests per second over the last 10 to 20 s, the numbers since
	// the start of the process. Exceeded requests got 429, unavailable ones 503.
	GrantedRate     float64 `json:"granted_per_s"`
	ExceededRate    float64 `json:"exceeded_per_s"`
	UnavailableRate float64 `json:"unavailable_per_s"`
	Granted         uint64  `json:"granted"`
	Exceeded        uint64  `json:"exceeded"`
	Unavailable     uint64  `json:"unavailable"`
}
