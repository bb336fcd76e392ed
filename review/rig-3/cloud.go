package main

import "net/http"

// cloudServer is a stand-in for the platform's machine service. No case has waves of upkeep.
type cloudServer struct{ w *world }

func (c *cloudServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/api/machines" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	list := []map[string]any{}
	for _, k := range c.w.workers {
		list = append(list, map[string]any{
			"machine": "m-" + k.id, "pool": k.service, "state": "up", "zone": k.zone, "labels": []string{"a", k.rack}, "room": k.room(), "id": k.id,
		})
	}
	writeJSON(w, 200, map[string]any{"machines": list, "next_token": nil})
}
