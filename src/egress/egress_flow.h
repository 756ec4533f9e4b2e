#pragma once

/// One request at the egress: find its route and service, choose a server, send it to the ingress
/// beside that server, try elsewhere where that is allowed, and answer at once when it is given up.
///
/// Invariants:
///   - "not run" (503) is answered only when no attempt may have run;
///   - what is not repeatable is sent on again only after an attempt that surely did not run;
///   - an answer is passed on only when it is this request's, and a success only when it is signed.

#include <memory>

#include "egress/egress_state.h"
#include "proxy/request_flow.h"

namespace coursepond::egress {

/// Makes the state machine of one request. `state`, `environment` and `io` must outlive it.
std::unique_ptr<proxy::Exchange> makeEgressFlow(proxy::RequestHead head, EgressState& state,
                                                Environment& environment, proxy::RequestIo& io);

/// Whether the route in force lets this request run more than once. False without a route.
bool mayRunTwice(const proxy::RequestHead& head, const EgressState& state);

}  // namespace coursepond::egress
