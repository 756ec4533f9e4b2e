#pragma once

/// One request at the ingress: wait for a slot of the server, run there, answer. A refusal here
/// costs nothing: no server saw the request, and the egress may go elsewhere at once.

#include <memory>

#include "ingress/ingress_state.h"
#include "proxy/request_flow.h"

namespace coursepond::ingress {

/// Makes the state machine of one request. `state`, `environment` and `io` must outlive it.
std::unique_ptr<proxy::Exchange> makeIngressFlow(proxy::RequestHead head, IngressState& state,
                                                 Environment& environment, proxy::RequestIo& io);

}  // namespace coursepond::ingress
