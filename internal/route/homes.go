package route

import pb "fieldrelay/api/fieldrelay/v1"

// HomesByHost counts the routes that have a home in a region, by host and region. Items that cannot be used are left
// out, as they are from a table.
func HomesByHost(items []*pb.Item) map[string]map[string]int {
	homes := make(map[string]map[string]int)
	for _, item := range items {
		route, err := parseRoute(item)
		if err != nil || len(route.HomeRegions) == 0 {
			continue
		}
		if homes[route.Host] == nil {
			homes[route.Host] = make(map[string]int)
		}
		for _, region := range route.HomeRegions {
			homes[route.Host][region]++
		}
	}
	return homes
}
