package openapi

import (
	"errors"
	"log/slog"
	"os"
	"time"

	"ferryfront.example/ferryfront/admission"
	"ferryfront.example/ferryfront/internal/front/routes"
)

// Reloader compiles the routes again when the description changes or when told to, on a goroutine of
// its own: to read a large description would hold up the loop.
type Reloader struct {
	File     File
	Settings func() *admission.Settings // as they are now
	Log      *slog.Logger
	Every    time.Duration       // how often the description is looked at
	Kick     <-chan struct{}     // told to reload
	Swap     func(*routes.Table) // called with each good table, on the reloader's goroutine
}

// Stamp tells one state of a file from another.
type Stamp struct {
	size int64
	at   time.Time
}

func stampOf(path string) Stamp {
	info, err := os.Stat(path)
	if err != nil { // being replaced: it will be back
		return Stamp{}
	}
	return Stamp{info.Size(), info.ModTime()}
}

// Run goes on for the life of the process. A description that is refused leaves the old table in place.
// was is the state of the description before the first table was read.
func (r *Reloader) Run(was Stamp) {
	tick := time.NewTicker(r.Every)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			is := stampOf(r.File.Description)
			if is == was || is == (Stamp{}) {
				continue
			}
			was = is
		case <-r.Kick:
			was = stampOf(r.File.Description)
		}
		table, err := r.File.Load(*r.Settings())
		if err != nil {
			r.Log.Error("routes not reloaded", "error", err)
			if system := (*os.PathError)(nil); errors.As(err, &system) { // of the disk, not of the description: looked at anew
				was = Stamp{}
			}
			continue
		}
		r.Log.Info("routes reloaded", "routes", len(table.All()))
		r.Swap(table)
	}
}

// Stamp is the present state of the description; take it before Load.
func (f File) Stamp() Stamp { return stampOf(f.Description) }
