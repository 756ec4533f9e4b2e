#pragma once

/// Model of one server of a service: slots, a queue, cold start, drain, load shedding and load
/// reports that may be wrong.

#include <deque>
#include <optional>
#include <set>

#include "deployment.h"
#include "model/endpoint.h"
#include "network.h"
#include "request_checks.h"
#include "upstream.h"

namespace coursepond::simulation {

/// Current misbehaviour of a back end.
struct BackendBehaviour {
  std::uint32_t slowness = 1;  ///< Factor on the service time.
  bool sheds = false;          ///< Rejects most requests as not run.
  bool lies = false;           ///< Reports zero load regardless of its load.
  /// Announces on its answers that it is leaving. The platform's list always shows it.
  bool announces_leaving = true;
  /// The platform's list does not show that it is leaving.
  bool is_listed_as_live = false;
  std::optional<double> limit;  ///< Reported in all answers, in requests per second.
};

class BackendModel {
 public:
  BackendModel(VirtualTime& time, Network& network, RequestChecks& checks, std::uint64_t seed,
               const ServiceShape& service, model::Endpoint endpoint);

  const model::Endpoint& endpoint() const { return endpoint_; }
  const ServiceName& service() const { return service_.name; }
  BackendBehaviour& behaviour() { return behaviour_; }
  bool running() const { return running_; }
  bool busy() const { return busy_slots_ > 0; }
  /// Time at which the server started to leave; empty while it is not leaving.
  std::optional<TimePoint> leavingSince() const { return leaving_since_; }

  /// Accepts the connection unless the connection limit is reached.
  bool accept(const UpstreamConnectionPointer& connection);
  void receive(const ServerRequest& request);
  /// Called when the node closed the connection. Drops its requests that have not started.
  void onClosedByNode(const UpstreamConnectionPointer& connection);

  /// Stops accepting new work after a short grace time and finishes the work in progress.
  void beginLeaving();
  void crash();

 private:
  void startWaiting();
  void run(const ServerRequest& request);
  void finish(const ServerRequest& request);
  void refuse(const ServerRequest& request);
  void sendHead(const ServerRequest& request, int status, bool not_run);
  void sendLater(const ServerRequest& request, ServerEvent::Kind kind, Duration delay);
  void send(const UpstreamConnectionPointer& connection, ServerEvent event);
  Duration serviceTime();
  bool refusesNewWork() const;

  VirtualTime& time_;
  Network& network_;
  RequestChecks& checks_;
  RandomSource random_;
  ServiceShape service_;
  model::Endpoint endpoint_;
  BackendBehaviour behaviour_;
  bool running_ = true;
  TimePoint started_;
  std::optional<TimePoint> leaving_since_;
  std::uint32_t busy_slots_ = 0;
  std::deque<ServerRequest> waiting_;
  std::set<UpstreamConnectionPointer> connections_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace coursepond::simulation
