package config

// TeamWeight returns the weight by which a team shares capacity with other teams when a
// service is short of it: its rate, which is what it is entitled to. A team without a
// rate, or that is not known, has the mean rate of the others.
func (s *Snapshot) TeamWeight(name string) float64 {
	if t, ok := s.Team(name); ok && t.Rate > 0 {
		return t.Rate
	}
	if s.teams.meanRate > 0 {
		return s.teams.meanRate
	}
	return 1
}

// meanRate returns the mean rate of the teams that have one, 0 if none has.
func meanRate(teams []Team) float64 {
	sum, n := 0.0, 0
	for i := range teams {
		if teams[i].Rate > 0 {
			sum += teams[i].Rate
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}
