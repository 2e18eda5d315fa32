package policy

// maxPassWork bounds the units that a pass considers, times the workers that each may be compared with, so that a pass stays well below the time
// after which a planner counts as stalled.
const maxPassWork = 10 << 20

// Considered returns the units that a pass over the given number of workers considers, in the order of the given ones, which is that of Order. If there
// are more than it can consider, each organisation gets an equal part of them, and each of its jobs an equal part of that; guaranteed units are
// considered in any case. What is left out waits for a later pass.
//
// Load pattern: jobs of thousands of steps that could all start, beside ordinary ones.
func Considered(units []*Unit, workers int) []*Unit {
	most := max(1, maxPassWork/max(1, workers))
	if len(units) <= most {
		return units
	}
	jobs := map[string]int{}
	unitsByJob := map[string]int{}
	for _, u := range units {
		if unitsByJob[u.Job.ID] == 0 {
			jobs[u.Job.Organisation]++
		}
		unitsByJob[u.Job.ID]++
	}
	perOrganisation := max(1, most/len(jobs))
	clear(unitsByJob)
	byOrganisation := map[string]int{}
	considered := make([]*Unit, 0, most)
	for _, u := range units {
		name := u.Job.Organisation
		perJob := max(1, perOrganisation/jobs[name])
		if !u.Guaranteed && (byOrganisation[name] >= perOrganisation || unitsByJob[u.Job.ID] >= perJob) {
			continue
		}
		byOrganisation[name]++
		unitsByJob[u.Job.ID]++
		considered = append(considered, u)
	}
	return considered
}
