#include "load_run.h"

#include <algorithm>
#include <future>
#include <utility>

#include "runtime/asio_environment.h"

namespace coursepond::load {

/// A request that is waiting for a connection or in flight.
struct LoadRun::Request {
  std::uint64_t number = 0;
  TimePoint scheduled;
  const RequestKind* kind = nullptr;
  std::size_t target = 0;
  std::size_t failed_targets = 0;
};

struct LoadRun::Connection {
  Connection(LoadRun& run, std::size_t target_index)
      : target(target_index),
        connection(run.context_, run.environment_, run.options_.targets[target_index]) {}

  std::size_t target;
  LoadConnection connection;
  Version newest_version;
};

struct LoadRun::Target {
  std::vector<std::shared_ptr<Connection>> idle;
  std::size_t open = 0;
  std::deque<RequestPointer> waiting;
};

LoadRun::LoadRun(boost::asio::io_context& context, Environment& environment,
                 const LoadOptions& options, unsigned thread)
    : context_(context),
      environment_(environment),
      options_(options),
      mix_(options.kinds),
      targets_(options.targets.size()),
      next_number_(thread) {
  const double seconds = std::chrono::duration<double>(options.duration).count();
  end_number_ = static_cast<std::uint64_t>(options.rate * seconds);
}

LoadRun::~LoadRun() = default;

TimePoint LoadRun::timeOf(std::uint64_t number) const {
  const std::chrono::duration<double> offset(static_cast<double>(number) / options_.rate);
  return begin_ + std::chrono::duration_cast<Duration>(offset);
}

void LoadRun::start(TimePoint begin) {
  begin_ = begin;
  if (next_number_ >= end_number_) return;
  environment_.schedule(timeOf(next_number_) - environment_.now(), [this] { sendDue(); });
}

void LoadRun::sendDue() {
  const TimePoint now = environment_.now();
  while (next_number_ < end_number_ && timeOf(next_number_) <= now) {
    const auto request = std::make_shared<Request>();
    request->number = next_number_;
    request->scheduled = timeOf(next_number_);
    request->kind = &mix_.kindOf(next_number_);
    request->target = next_number_ % targets_.size();
    next_number_ += options_.threads;
    dispatch(request);
  }
  if (next_number_ >= end_number_) return;
  environment_.schedule(timeOf(next_number_) - environment_.now(), [this] { sendDue(); });
}

void LoadRun::dispatch(const RequestPointer& request) {
  Target& target = targets_[request->target];
  while (!target.idle.empty()) {
    const std::shared_ptr<Connection> connection = target.idle.back();
    target.idle.pop_back();
    if (connection->connection.reusable()) return sendOn(connection, request);
    --target.open;
  }
  if (target.open >= options_.connections_per_target) {
    target.waiting.push_back(request);
    return;
  }
  ++target.open;
  ++result_.connections_opened;
  sendOn(std::make_shared<Connection>(*this, request->target), request);
}

void LoadRun::sendOn(const std::shared_ptr<Connection>& connection, const RequestPointer& request) {
  const RequestKind& kind = *request->kind;
  const OutgoingRequest outgoing{
      kind.method,       kind.host,
      kind.target,       makeRequestId(options_.id_prefix, request->number),
      options_.deadline, options_.timeout};
  connection->connection.send(outgoing,
                              [this, connection, request](ExchangeEnd end, const Answer& answer) {
                                finish(connection, request, end, answer);
                              });
}

void LoadRun::finish(const std::shared_ptr<Connection>& connection, const RequestPointer& request,
                     ExchangeEnd end, const Answer& answer) {
  if (end == ExchangeEnd::kAnswer) checkVersion(*connection, answer);
  const bool sent_elsewhere = end == ExchangeEnd::kConnectFailed && failOver(request);
  if (!sent_elsewhere) recordOutcome(*request, end, answer);
  release(connection);
}

/// Dispatches a request whose connection attempt failed to the next target. Returns false when
/// every target has been tried.
bool LoadRun::failOver(const RequestPointer& request) {
  ++request->failed_targets;
  if (request->failed_targets >= targets_.size()) return false;
  ++result_.failovers;
  request->target = (request->target + 1) % targets_.size();
  dispatch(request);
  return true;
}

void LoadRun::release(const std::shared_ptr<Connection>& connection) {
  Target& target = targets_[connection->target];
  if (connection->connection.reusable()) {
    target.idle.push_back(connection);
  } else {
    --target.open;
  }
  if (target.waiting.empty()) return;
  const RequestPointer next = target.waiting.front();
  target.waiting.pop_front();
  dispatch(next);
}

void LoadRun::recordOutcome(const Request& request, ExchangeEnd end, const Answer& answer) {
  const std::string request_id = makeRequestId(options_.id_prefix, request.number);
  const Classification classification = classify(*request.kind, request_id, end, answer);
  result_.records.push_back({request.number, classification.outcome, request.kind->repeatable});
  const Duration latency = environment_.now() - request.scheduled;
  if (classification.outcome == Outcome::kAnswered) {
    result_.answered_latency.record(latency);
  } else {
    result_.other_latency.record(latency);
    ++result_.reasons[classification.outcome][classification.reason];
  }
}

void LoadRun::checkVersion(Connection& connection, const Answer& answer) {
  const Version version = answer.configuration_version;
  if (version == Version()) return;
  if (version < connection.newest_version) ++result_.version_regressions;
  connection.newest_version = std::max(connection.newest_version, version);
  const std::string target = formatAddress(options_.targets[connection.target]);
  const auto [entry, is_new] = result_.versions.try_emplace(target, VersionsSeen{version, version});
  entry->second.lowest = std::min(entry->second.lowest, version);
  entry->second.highest = std::max(entry->second.highest, version);
}

RunResult runLoad(const LoadOptions& options) {
  constexpr Duration kStartDelay = std::chrono::milliseconds(20);
  const TimePoint begin = BootClock::now() + kStartDelay;
  std::vector<std::future<RunResult>> parts;
  for (unsigned thread = 0; thread < options.threads; ++thread) {
    parts.push_back(std::async(std::launch::async, [&options, begin, thread] {
      boost::asio::io_context context(1);
      runtime::AsioEnvironment environment(context);
      LoadRun run(context, environment, options, thread);
      run.start(begin);
      context.run();
      return run.takeResult();
    }));
  }
  RunResult result;
  for (std::future<RunResult>& part : parts) result.merge(part.get());
  return result;
}

}  // namespace coursepond::load
