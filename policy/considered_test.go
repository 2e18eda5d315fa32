package policy

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"clementinepier/workload"
)

// unitsOf returns a number of units of a job that could start.
func unitsOf(organisation, id string, n int) []*Unit {
	job := &workload.Job{ID: id, Organisation: organisation}
	units := make([]*Unit, n)
	for i := range units {
		units[i] = &Unit{Job: job, Tasks: []int{i}}
	}
	return units
}

// Guards against a pass whose duration grows with what callers submit, and against jobs or organisations that are never considered because
// others have very many units before theirs.
func TestUnitsOfAPassAreBounded(t *testing.T) {
	is := is.New(t)
	const workers = 1000
	const most = maxPassWork / workers
	var units []*Unit
	for i := range 30 {
		units = append(units, unitsOf("flood", fmt.Sprint("large-", i), 9001)...)
	}
	units = append(units, unitsOf("flood", "small", 3)...)
	units = append(units, unitsOf("other", "one", 1)...)
	units = append(units, unitsOf("other", "many", 2*most)...)
	guaranteed := unitsOf("flood", "guaranteed", 500)
	for _, u := range guaranteed {
		u.Guaranteed = true
	}
	units = append(units, guaranteed...)
	considered := Considered(units, workers)
	is.True(len(considered) <= most+len(guaranteed))
	is.True(len(considered) >= most/2)
	count := map[string]int{}
	for _, u := range considered {
		count[u.Job.ID]++
	}
	is.Equal(count["small"], 3)
	is.Equal(count["one"], 1)
	is.Equal(count["guaranteed"], 500)
	is.Equal(count["large-0"], count["large-29"])
	is.True(count["many"] > most/5)

	// Units that a pass can consider are all considered, and so is one unit beside any number of workers.
	is.Equal(len(Considered(units[:most], workers)), most)
	is.Equal(len(Considered(unitsOf("other", "one", 1), 100*maxPassWork)), 1)
	is.Equal(len(Considered(nil, 0)), 0)
}
