package check

import "fmt"

func (r *review) checkVersion() {
	version, p := r.configuration.Version, placeConfiguration
	if version == 0 {
		r.fail(p, "the version is missing or 0", "number the versions from 1")
	}
	before := r.options.InForce
	if before == nil {
		return
	}
	if version <= before.Version {
		r.fail(p, fmt.Sprintf("version %d is not above version %d in force; instances ignore it", version, before.Version),
			fmt.Sprintf("set the version to %d or higher", before.Version+1))
	}
	if before.AccountsDefined && !r.configuration.AccountsDefined {
		r.warn(p, "the version in force defines accounts and this one does not; every key will be accepted",
			"keep the list of accounts unless keys shall no longer be checked")
	}
}

func (r *review) checkRoutes() {
	c, places := r.configuration, routePlaces(r.configuration)
	if len(c.Routes) == 0 {
		r.warn(placeConfiguration, "there are no routes; every session is refused", "add a route for each database")
	}
	firstName := firstOccurrence(namesOf(c.Routes, func(r Route) string { return r.Name }))
	lastDatabase := lastOccurrence(namesOf(c.Routes, func(r Route) string { return r.Database }))
	groups := firstOccurrence(namesOf(c.Groups, func(g Group) string { return g.Name }))
	for i, route := range c.Routes {
		p := places[i]
		if route.Name == "" {
			r.warn(p, "the name is missing", "name the route")
		} else if first := firstName[route.Name]; first != i {
			r.warn(p, fmt.Sprintf("the name is already used by entry %d", first+1), "give each route a name of its own")
		}
		if last := lastDatabase[route.Database]; last != i && route.Database != "" {
			r.fail(p, fmt.Sprintf("it never matches: entry %d (%s) is for the same database %q and replaces it", last+1, places[last].text, route.Database),
				"remove one of the two, or correct its database")
		}
		r.checkRoute(p, route)
		if _, defined := groups[route.Group]; !defined && route.Group != "" {
			r.fail(p, fmt.Sprintf("group %q is not defined; every session is refused", route.Group), "define the group or correct its name")
		}
	}
}

// checkRoute checks the values of one route.
func (r *review) checkRoute(p place, route Route) {
	if route.Database == "" {
		r.fail(p, "the database is missing; no session can match", "name the database")
	} else if !isWord(route.Database) {
		r.fail(p, fmt.Sprintf("no session can name the database %q, since it contains a space or a line break", route.Database), "correct the database")
	}
	if route.Group == "" {
		r.fail(p, "the group is missing; every session is refused", "name the group that holds the database")
	}
	if route.Consistency == ConsistencyUnknown {
		r.fail(p, fmt.Sprintf("the type %q is unknown; reads get the strictest consistency", route.Type), "write a known type")
	}
	limit := r.milliseconds(p, "the time limit", route.TimeLimitMs)
	objective := r.milliseconds(p, "the latency objective", route.LatencyObjectiveMs)
	staleness := r.milliseconds(p, "the staleness", route.StalenessLimitMs)
	r.number(p, "the priority", route.Priority)
	if limit && objective && route.TimeLimitMs > 0 && route.LatencyObjectiveMs > route.TimeLimitMs {
		r.warn(p, fmt.Sprintf("the latency objective (%s ms) is above the time limit (%s ms), which ends a request first",
			formatNumber(route.LatencyObjectiveMs), formatNumber(route.TimeLimitMs)), "lower the objective or raise the time limit")
	}
	if staleness && route.Consistency == ConsistencyBounded && route.StalenessLimitMs == 0 {
		r.warn(p, "the staleness of a bounded route is 0; replicas can hardly serve its reads", "set the staleness that readers accept")
	}
}

func (r *review) checkGroups() {
	c, places := r.configuration, groupPlaces(r.configuration)
	names := namesOf(c.Groups, func(g Group) string { return g.Name })
	last := lastOccurrence(names)
	routed := firstOccurrence(namesOf(c.Routes, func(r Route) string { return r.Group }))
	for i, group := range c.Groups {
		p := places[i]
		if group.Name == "" {
			r.fail(p, "the name is missing; no route can match", "name the group")
		} else if _, found := routed[group.Name]; !found {
			r.warn(p, "no route leads to the group", "add a route or remove the group")
		}
		if k := last[group.Name]; k != i && group.Name != "" {
			r.fail(p, fmt.Sprintf("it has no effect: entry %d has the same name and replaces it", k+1), "remove one of the two, or correct its name")
		}
		r.number(p, "the number of synchronous replicas", group.SyncReplicas)
		r.checkConnections(p, group)
	}
}

func (r *review) checkConnections(p place, group Group) {
	if !r.number(p, "the connection limit", group.Connections) {
		return
	}
	needed := r.options.ConnectionsNeeded
	switch {
	case group.Connections == 0:
		r.fail(p, "the connection limit is missing or 0; no request can run", "set the limit that the members have")
	case group.Connections < float64(needed):
		r.warn(p, fmt.Sprintf("the connection limit (%s) is below the %d that the instances need", formatNumber(group.Connections), needed),
			fmt.Sprintf("raise the limit to %d or more, or expect refusals under load and in partitions", needed))
	}
}

// checkTransactionIdle compares the idle limit with the time limits of the routes, if all are set.
func (r *review) checkTransactionIdle() {
	idle := r.configuration.TransactionIdleMs
	if !r.milliseconds(placeConfiguration, "the idle limit of transactions", idle) {
		return
	}
	longest := 0.0
	for _, route := range r.configuration.Routes {
		if !(route.TimeLimitMs > 0) {
			return
		}
		longest = max(longest, route.TimeLimitMs)
	}
	if longest > 0 && idle > longest {
		r.warn(placeConfiguration, fmt.Sprintf("the idle limit of transactions (%s ms) is above the time limit of every route (at most %s ms)",
			formatNumber(idle), formatNumber(longest)), "lower the idle limit, so that idle transactions do not hold connections for longer than requests")
	}
}
