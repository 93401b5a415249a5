// Package all registers every policy plug-in of this project.
package all

import (
	// Each package registers a router, hedger, admission or limiter in its init.
	_ "github.com/samphirebeam/samphirebeam/plugin/billiard"
	_ "github.com/samphirebeam/samphirebeam/plugin/expected"
	_ "github.com/samphirebeam/samphirebeam/plugin/leastwait"
	_ "github.com/samphirebeam/samphirebeam/plugin/nohedge"
	_ "github.com/samphirebeam/samphirebeam/plugin/open"
	_ "github.com/samphirebeam/samphirebeam/plugin/quantile"
	_ "github.com/samphirebeam/samphirebeam/plugin/ramp"
	_ "github.com/samphirebeam/samphirebeam/plugin/random"
	_ "github.com/samphirebeam/samphirebeam/plugin/roundrobin"
	_ "github.com/samphirebeam/samphirebeam/plugin/slots"
)
