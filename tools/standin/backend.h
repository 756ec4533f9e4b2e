#pragma once

/// Back end stand-in for tests: slots with a short queue, cold start, drain, refusals that are
/// guaranteed not to have run, deadlines, cancellation, and load reports that may be stale or
/// false. It uses no sockets.

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/environment.h"
#include "core/time.h"
#include "http_message.h"
#include "journal.h"

namespace coursepond::standin {

/// Fault that a back end injects into its answers to work requests.
enum class BackendFault {
  kNone,
  kStuck,  ///< Work never completes.
  kCut,    ///< The connection is closed after half of the body.
  kStall,  ///< Sending stops after half of the body; the connection stays open.
};

/// Parses "none", "stuck", "cut" or "stall".
std::optional<BackendFault> parseBackendFault(std::string_view name);

/// Behaviour of a back end, set at its start; /control/behaviour changes some of it later.
struct BackendOptions {
  std::string id = "backend";
  std::string service = "service";
  std::uint32_t slots = 10;
  std::uint32_t queue_limit = 10;
  Duration service_time = std::chrono::milliseconds(5);
  Duration cold_start = Duration{};  ///< Time after the start during which work is slower.
  std::uint32_t cold_factor = 4;     ///< Factor by which cold work is slower.
  std::size_t answer_bytes = 200;    ///< Body size when the request names none.
  Duration retry_after = std::chrono::seconds(1);
  Duration load_lag = Duration{};       ///< Minimum age of a load report before it is updated.
  std::optional<std::string> load_lie;  ///< Reported instead of the true load.
  bool health_lies = false;             ///< /health answers "ok" even while draining.
  BackendFault fault = BackendFault::kNone;
};

/// Counters of a back end.
struct BackendCounts {
  std::uint64_t completed = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t refused_full = 0;
  std::uint64_t refused_draining = 0;
  std::uint64_t refused_deadline = 0;
  std::uint64_t refused_connection = 0;
};

/// Handles every path as work, except for its own endpoints:
///   /load               {"busy", "slots", "queued", "load"}, stale or false if configured
///   /health             200 "ok", or 503 while draining
///   /journal            the Journal
///   /control/behaviour  POST: changes some of the BackendOptions
///   /control/drain      POST: starts a drain
///   /control/statistics the counters
/// The query of a work request selects properties of the answer: size=BYTES, chunked=1,
/// time_ms=MILLISECONDS, echo=HEADER (X-Echo then carries the value of that request header).
/// X-Backend carries the id of the back end.
class Backend {
 public:
  Backend(Environment& environment, BackendOptions options, Journal& journal);
  ~Backend();
  Backend(const Backend&) = delete;
  Backend& operator=(const Backend&) = delete;

  void handle(std::shared_ptr<HttpExchange> exchange);
  /// Refuses a request that arrived on a connection above the connection limit.
  void refuseConnection(HttpExchange& exchange);

  /// Refuses new work from now on and calls `on_drained` once no work is left.
  void drain(std::function<void()> on_drained);
  /// Sets the callback that is called when /control/drain is requested.
  void onDrainRequest(std::function<void()> callback) { on_drain_request_ = std::move(callback); }

  bool draining() const { return draining_; }
  const BackendCounts& counts() const { return counts_; }
  std::size_t busy() const { return running_.size(); }

 private:
  struct Work;
  using WorkPointer = std::shared_ptr<Work>;
  struct LoadReport {
    std::size_t busy = 0;
    std::size_t queued = 0;
  };

  void admit(std::shared_ptr<HttpExchange> exchange);
  void refuse(HttpExchange& exchange, std::string_view reason, std::uint64_t& counter);
  void startOrQueue(const WorkPointer& work);
  void start(const WorkPointer& work);
  void complete(const WorkPointer& work);
  void cancel(const WorkPointer& work);
  void expire(const WorkPointer& work);
  void remove(const WorkPointer& work);
  void startQueued();
  void notifyIfDrained();
  void updateLoadReport();
  std::string loadText() const;
  HttpReply answer(const Work& work) const;
  Duration workTime(const HttpRequest& request) const;
  HttpReply controlReply(const HttpRequest& request);
  HttpReply changeBehaviour(const HttpRequest& request);
  HttpReply healthReply() const;
  HttpReply loadReply() const;
  std::string statisticsText() const;

  Environment& environment_;
  BackendOptions options_;
  Journal& journal_;
  TimePoint started_at_;
  std::list<WorkPointer> running_;
  std::deque<WorkPointer> queued_;
  LoadReport reported_;
  TimePoint reported_at_;
  BackendCounts counts_;
  bool draining_ = false;
  std::function<void()> on_drained_;
  std::function<void()> on_drain_request_;
};

}  // namespace coursepond::standin
