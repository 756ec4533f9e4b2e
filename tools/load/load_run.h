#pragma once

/// Open-loop load: sends requests on a fixed schedule that does not depend on earlier answers.
/// Latency is measured from the scheduled time, so the wait that a stall causes to later requests
/// is included.

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "core/address.h"
#include "core/environment.h"
#include "load_connection.h"
#include "request_mix.h"
#include "run_result.h"

namespace coursepond::load {

/// What a run sends, and to which targets.
struct LoadOptions {
  std::vector<Address> targets;
  std::vector<RequestKind> kinds;
  double rate = 100;  ///< Requests per second of all threads together.
  Duration duration = std::chrono::seconds(10);
  std::size_t connections_per_target = 32;  ///< Upper bound for each thread.
  Duration deadline{};                      ///< Sent to the targets; zero for none.
  Duration timeout = std::chrono::seconds(10);
  std::string id_prefix = "load";
  unsigned threads = 1;
};

/// The share of a run that one thread sends: the requests number thread, thread + threads, ...
class LoadRun {
 public:
  LoadRun(boost::asio::io_context& context, Environment& environment, const LoadOptions& options,
          unsigned thread);
  ~LoadRun();
  LoadRun(const LoadRun&) = delete;
  LoadRun& operator=(const LoadRun&) = delete;

  /// Begins the schedule at `begin`. The context runs out of work after the last outcome.
  void start(TimePoint begin);

  RunResult takeResult() { return std::move(result_); }

 private:
  struct Request;
  struct Connection;
  struct Target;
  using RequestPointer = std::shared_ptr<Request>;

  void sendDue();
  TimePoint timeOf(std::uint64_t number) const;
  void dispatch(const RequestPointer& request);
  void sendOn(const std::shared_ptr<Connection>& connection, const RequestPointer& request);
  void finish(const std::shared_ptr<Connection>& connection, const RequestPointer& request,
              ExchangeEnd end, const Answer& answer);
  void release(const std::shared_ptr<Connection>& connection);
  bool failOver(const RequestPointer& request);
  void recordOutcome(const Request& request, ExchangeEnd end, const Answer& answer);
  void checkVersion(Connection& connection, const Answer& answer);

  boost::asio::io_context& context_;
  Environment& environment_;
  const LoadOptions& options_;
  RequestMix mix_;
  std::vector<Target> targets_;
  std::uint64_t next_number_;
  std::uint64_t end_number_;
  TimePoint begin_;
  RunResult result_;
};

/// Runs the load on `options.threads` threads and waits for the outcome of every request.
RunResult runLoad(const LoadOptions& options);

}  // namespace coursepond::load
