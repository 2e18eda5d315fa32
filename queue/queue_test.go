package queue

import (
	"cmp"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"clementinepier/job"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestMain fixes rapid's seed, so that every run tests the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.checks": "500"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func item(organisation, id string, urgent bool, enqueued, deadline int) Item {
	return Item{
		Request:  job.Request{Organisation: organisation, ID: id, Urgent: urgent, Shape: job.Shape{Tasks: 1, Accelerators: 2, Slots: 1}},
		Enqueued: start.Add(time.Duration(enqueued) * time.Second), Deadline: start.Add(time.Duration(deadline) * time.Second),
	}
}

// Guards against a heap that loses, repeats or misorders requests. The oracle sorts a plain list.
func TestQueueMatchesSortedList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 6
		q := New(Options{MaxLength: limit, AgedPickInterval: 1 << 30})
		usage := map[string]Usage{"a": {Running: 3, Weight: 1}, "b": {Running: 1, Guaranteed: 2}, "c": {Running: 8, Weight: 4}, "d": {Running: 9, Guaranteed: 10}}
		names := []string{"a", "b", "c", "d"}
		var list, returned []Item
		now, next := 0, 0
		order := func(a, b Item) int {
			n, m := a.Request, b.Request
			return cmp.Or(-cmp.Compare(urgencyIndex(n.Urgent), urgencyIndex(m.Urgent)), FairShare(usage[n.Organisation], usage[m.Organisation]),
				a.Deadline.Compare(b.Deadline), a.Enqueued.Compare(b.Enqueued))
		}
		count := func(name string) (n int) {
			for _, i := range slices.Concat(list, returned) {
				if i.Request.Organisation == name {
					n++
				}
			}
			return n
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				next++
				i := item(rapid.SampledFrom(names).Draw(t, "organisation"), fmt.Sprint(next), rapid.Bool().Draw(t, "urgent"), next, rapid.IntRange(0, 50).Draw(t, "deadline"))
				full := count(i.Request.Organisation) >= limit
				if err := q.Push(i); IsErrQueueFull(err) != full {
					t.Fatalf("push: %v with full=%v", err, full)
				}
				if !full {
					list = append(list, i)
					if !IsErrAlreadyQueued(q.Push(i)) {
						t.Fatal("the same request was queued twice")
					}
				}
			},
			"next": func(t *rapid.T) {
				slices.SortFunc(list, order)
				i, ok := q.Next(start, func(name string) Usage { return usage[name] })
				if ok != (len(list) > 0) || ok && i.Request.ID != list[0].Request.ID {
					t.Fatalf("next: %v %v, want %v", i, ok, list)
				}
				if ok {
					list = list[1:]
					if rapid.Bool().Draw(t, "return") {
						q.Defer(i)
						returned = append(returned, i)
					}
				}
			},
			"pass": func(*rapid.T) {
				q.NewPass()
				list, returned = append(list, returned...), nil
			},
			"remove": func(t *rapid.T) {
				key := job.Key{Organisation: rapid.SampledFrom(names).Draw(t, "organisation"), ID: fmt.Sprint(rapid.IntRange(0, next).Draw(t, "id"))}
				isKey := func(i Item) bool { return i.Request.Key() == key }
				waits := slices.ContainsFunc(list, isKey) || slices.ContainsFunc(returned, isKey)
				if q.Remove(key) != waits {
					t.Fatalf("remove %v: want %v", key, waits)
				}
				list, returned = slices.DeleteFunc(list, isKey), slices.DeleteFunc(returned, isKey)
			},
			"expire": func(t *rapid.T) {
				now += rapid.IntRange(0, 5).Draw(t, "passed")
				late := func(i Item) bool { return !i.Deadline.After(start.Add(time.Duration(now) * time.Second)) }
				expired := q.RemoveExpired(start.Add(time.Duration(now) * time.Second))
				before := len(list) + len(returned)
				list, returned = slices.DeleteFunc(list, late), slices.DeleteFunc(returned, late)
				if len(expired) != before-len(list)-len(returned) {
					t.Fatalf("%d expired", len(expired))
				}
			},
			"": func(t *rapid.T) {
				if q.Len() != len(list)+len(returned) || len(q.Items()) != q.Len() {
					t.Fatalf("length %d, want %d", q.Len(), len(list)+len(returned))
				}
			},
		})
	})
}

// Guards against a request that never runs because urgent requests of its own organisation, or requests of an organisation
// below its guaranteed share, keep arriving. Without aging it is never picked.
func TestAgedRequestIsNotStarved(t *testing.T) {
	pickedAfter := func(interval int) int {
		q := New(Options{AgedPickInterval: interval})
		usage := func(name string) Usage { return Usage{Running: len(name), Guaranteed: 2} }
		is.New(t).NoErr(q.Push(item("large", "old", false, 0, 1000)))
		for second := range 500 {
			for i := range 2 {
				is.New(t).NoErr(q.Push(item("a", fmt.Sprint(second, i), i == 0, second, second+100)))
			}
			for range 2 {
				if i, _ := q.Next(start.Add(time.Duration(second)*time.Second), usage); i.Request.ID == "old" {
					return second
				}
			}
		}
		return -1
	}
	is := is.New(t)
	is.True(pickedAfter(4) > 30 && pickedAfter(4) <= 33)
	is.Equal(pickedAfter(1<<30), -1)
}

// Guards against a pass that ends before it reaches a small organisation behind the long queue of a large one.
func TestPassReachesEveryOrganisation(t *testing.T) {
	is := is.New(t)
	q := New(Options{MaxDeferred: 5})
	for n := range 100 {
		is.NoErr(q.Push(item("large", fmt.Sprint(n), false, 0, 10)))
	}
	is.NoErr(q.Push(item("small", "x", false, 0, 1000)))
	usage := func(string) Usage { return Usage{} }
	for range 3 {
		tried := 0
		for i, ok := q.Next(start, usage); ok; i, ok = q.Next(start, usage) {
			q.Defer(i)
			tried++
		}
		is.Equal(tried, 6)
		is.Equal(q.Len(), 101)
		q.NewPass()
	}
}

// Guards against rejections that follow declared run times, or that happen before any service time was observed.
func TestRejectionUsesObservedServiceTimes(t *testing.T) {
	is := is.New(t)
	q := New(Options{})
	for n := range 10 {
		i := item("a", fmt.Sprint(n), false, 0, 1000)
		i.Request.DeclaredRunTime = job.Duration(time.Hour)
		is.NoErr(q.Push(i))
	}
	late := item("a", "late", false, 0, 20)
	_, reject := q.ShouldReject(start, late, 4)
	is.True(!reject)
	q.RecordServiceTime("a", late.Request.Shape, 10*time.Second)
	is.Equal(q.ExpectedWait("a", false, 4), 50*time.Second) // 10 requests of 2 accelerators for 10 s on 4
	retry, reject := q.ShouldReject(start, late, 4)
	is.True(reject && retry == 30*time.Second)
	late.Request.Urgent = true
	_, reject = q.ShouldReject(start, late, 4)
	is.True(!reject) // no urgent request is queued ahead
	var keys []job.Key
	for _, i := range q.Items() {
		keys = append(keys, i.Request.Key(), job.Key{Organisation: "a", ID: "gone" + i.Request.ID})
	}
	is.Equal(len(q.RemoveAll(keys)), 10)
	is.Equal(q.ExpectedWait("a", false, 4), time.Duration(0))
}
