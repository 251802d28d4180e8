package main

import (
	"math"
	"slices"
)

// linearProgram is a small linear program. It maximizes the scalar product of objective
// and the amounts, which are at least 0. The scalar product of each constraint and the
// amounts may not exceed the limit of the constraint.
type linearProgram struct {
	objective   []float64
	constraints [][]float64
	limits      []float64
	names       []string // of the constraints; solve does not report those without a name
}

func (p *linearProgram) addConstraint(row []float64, limit float64, name string) {
	p.constraints = append(p.constraints, row)
	p.limits = append(p.limits, max(limit, 0))
	p.names = append(p.names, name)
}

// tolerance is the relative error within which a constraint counts as binding.
const tolerance = 1e-7

// solve returns the best amounts and the names of the binding constraints. It checks
// every vertex, because a few classes and services have only some hundred vertices.
func (p *linearProgram) solve() (best []float64, binding []string) {
	n := len(p.objective)
	rows, limits := slices.Clone(p.constraints), slices.Clone(p.limits)
	for i := range n {
		row := make([]float64, n)
		row[i] = -1
		rows, limits = append(rows, row), append(limits, 0)
	}
	best, bestValue := make([]float64, n), 0.0
	chosen := make([]int, 0, n)
	var search func(from int)
	search = func(from int) {
		if len(chosen) < n {
			for i := from; i < len(rows); i++ {
				chosen = append(chosen, i)
				search(i + 1)
				chosen = chosen[:len(chosen)-1]
			}
			return
		}
		x, ok := vertex(rows, limits, chosen)
		if !ok || !feasible(rows, limits, x) {
			return
		}
		if v := dot(p.objective, x); v > bestValue {
			best, bestValue = x, v
		}
	}
	search(0)
	for i, row := range p.constraints {
		if p.names[i] != "" && dot(row, best) >= p.limits[i]*(1-tolerance) {
			binding = append(binding, p.names[i])
		}
	}
	return best, binding
}

// feasible reports whether x satisfies all constraints.
func feasible(rows [][]float64, limits, x []float64) bool {
	for i, row := range rows {
		if dot(row, x) > limits[i]+tolerance*(1+math.Abs(limits[i])) {
			return false
		}
	}
	return true
}

func dot(a, b []float64) float64 {
	sum := 0.0
	for i := range a {
		sum += a[i] * b[i]
	}
	return sum
}

// vertex returns the point at which all chosen constraints reach their limits, by
// Gauss-Jordan elimination. ok is false if there is no single such point.
func vertex(rows [][]float64, limits []float64, chosen []int) (x []float64, ok bool) {
	n := len(chosen)
	m := make([][]float64, n)
	for i, r := range chosen {
		m[i] = append(slices.Clone(rows[r]), limits[r])
	}
	for col := range n {
		pivot := col
		for i := col; i < n; i++ {
			if math.Abs(m[i][col]) > math.Abs(m[pivot][col]) {
				pivot = i
			}
		}
		if math.Abs(m[pivot][col]) < 1e-12 {
			return nil, false
		}
		m[col], m[pivot] = m[pivot], m[col]
		for i := range n {
			if i == col {
				continue
			}
			f := m[i][col] / m[col][col]
			for j := col; j <= n; j++ {
				m[i][j] -= f * m[col][j]
			}
		}
	}
	x = make([]float64, n)
	for i := range n {
		x[i] = m[i][n] / m[i][i]
	}
	return x, true
}
