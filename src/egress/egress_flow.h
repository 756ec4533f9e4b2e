#pragma once

/// State machine of one request at the egress. It finds the route and the service, chooses a
/// server, sends the request to the ingress beside that server, tries other servers where that is
/// allowed, and answers the caller itself as soon as it gives up.
///
/// Invariants:
///   - "not run" (503) is answered only if no attempt can have run;
///   - a request that is not repeatable is sent again only after an attempt that certainly did not
///     run;
///   - an answer is forwarded only if it belongs to this request;
///   - a successful answer is forwarded only if it is signed (where signatures are expected).

#include <memory>

#include "egress/egress_state.h"
#include "proxy/request_flow.h"

namespace coursepond::egress {

/// Creates the state machine of one request. `state`, `environment` and `io` must outlive it.
std::unique_ptr<proxy::Exchange> makeEgressFlow(proxy::RequestHead head, EgressState& state,
                                                Environment& environment, proxy::RequestIo& io);

/// Returns whether the route in force allows this request to run more than once. False if there is
/// no route.
bool mayRunTwice(const proxy::RequestHead& head, const EgressState& state);

}  // namespace coursepond::egress
