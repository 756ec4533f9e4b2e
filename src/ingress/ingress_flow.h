#pragma once

/// State machine of one request at the ingress: it waits for a slot of the server, sends the
/// request to the server and forwards the answer. A refusal by the ingress is cheap: no server has
/// seen the request, and the egress can try another ingress at once.

#include <memory>

#include "ingress/ingress_state.h"
#include "proxy/request_flow.h"

namespace coursepond::ingress {

/// Creates the state machine of one request. `state`, `environment` and `io` must outlive it.
std::unique_ptr<proxy::Exchange> makeIngressFlow(proxy::RequestHead head, IngressState& state,
                                                 Environment& environment, proxy::RequestIo& io);

}  // namespace coursepond::ingress
