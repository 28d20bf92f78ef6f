package agent

import pb "fieldrelay/api/fieldrelay/v1"

// event is an input of the core. A request of another agent has a channel with capacity for its single response.
type event interface{ isEvent() }

type (
	// tick reports that time has passed.
	tick struct{}
	// watchResponseStarted reports that the first bytes of the response to a watchCall have arrived.
	watchResponseStarted struct{ id uint64 }
	// watchDone is the result of a watchCall.
	watchDone struct {
		call     watchCall
		response *pb.WatchResponse
		err      error
	}
	// proxyCallDone is the result of a proxyCall.
	proxyCallDone struct {
		call   proxyCall
		status *pb.ProxyStatus
		err    error
	}
	// shuffleDone is the result of a shuffleCall.
	shuffleDone struct {
		call     shuffleCall
		response *pb.ShuffleResponse
		err      error
	}
	// pushDone is the result of a pushCall.
	pushDone struct {
		call     pushCall
		response *pb.PushResponse
		err      error
	}
	// compareDone is the result of a compareCall.
	compareDone struct {
		call     compareCall
		response *pb.CompareResponse
		err      error
	}
	// shuffleRequested is a request of another agent to exchange samples of the partial views.
	shuffleRequested struct {
		request  *pb.ShuffleRequest
		response chan<- *pb.ShuffleResponse
	}
	// pushRequested is a request of another agent that carries an update.
	pushRequested struct {
		request  *pb.PushRequest
		response chan<- *pb.PushResponse
	}
	// compareRequested is a request of another agent to compare versions.
	compareRequested struct {
		request  *pb.CompareRequest
		response chan<- *pb.CompareResponse
	}
	// seedsReloaded carries the link addresses of the seeds after they have changed in the settings file.
	seedsReloaded struct{ addresses []string }
	// shutdownRequested reports a request to shut the process down.
	shutdownRequested struct{}
)

func (tick) isEvent()                 {}
func (watchResponseStarted) isEvent() {}
func (watchDone) isEvent()            {}
func (proxyCallDone) isEvent()        {}
func (shuffleDone) isEvent()          {}
func (pushDone) isEvent()             {}
func (compareDone) isEvent()          {}
func (shuffleRequested) isEvent()     {}
func (pushRequested) isEvent()        {}
func (compareRequested) isEvent()     {}
func (seedsReloaded) isEvent()        {}
func (shutdownRequested) isEvent()    {}
