#include "backend.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "answer_body.h"
#include "core/http_headers.h"

namespace coursepond::standin {

using nlohmann::json;

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

constexpr char kBackendHeader[] = "X-Backend";
constexpr char kEchoHeader[] = "X-Echo";

struct FaultName {
  std::string_view name;
  BackendFault fault;
};

constexpr std::array kFaultNames{
    FaultName{"none", BackendFault::kNone},
    FaultName{"stuck", BackendFault::kStuck},
    FaultName{"cut", BackendFault::kCut},
    FaultName{"stall", BackendFault::kStall},
};

std::optional<std::uint64_t> parseNumber(std::string_view text) {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return value;
}

Duration milliseconds(std::uint64_t value) {
  return std::chrono::milliseconds(static_cast<std::int64_t>(value));
}

/// Reply for work that was stopped at its deadline and has therefore run in part.
HttpReply deadlineExceededReply(const std::string& request_id) {
  HttpReply reply = jsonReply(kGatewayTimeout, "{}");
  reply.headers.push_back({http_headers::kOutcome, http_headers::kOutcomeUnknown});
  reply.headers.push_back({http_headers::kReason, "deadline"});
  reply.headers.push_back({http_headers::kRequestId, request_id});
  return reply;
}

/// Formats Retry-After in whole seconds, rounded up, at least one.
std::string retryAfterText(Duration delay) {
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(delay).count();
  return std::to_string(std::max<std::int64_t>(1, seconds));
}

}  // namespace

std::optional<BackendFault> parseBackendFault(std::string_view name) {
  const auto found = std::find_if(kFaultNames.begin(), kFaultNames.end(),
                                  [&](const FaultName& entry) { return entry.name == name; });
  if (found == kFaultNames.end()) return std::nullopt;
  return found->fault;
}

/// An admitted work request, queued or running.
struct Backend::Work {
  std::shared_ptr<HttpExchange> exchange;
  std::string request_id;
  bool running = false;
  bool finished = false;
  TimerId work_timer = 0;
  TimerId deadline_timer = 0;
};

Backend::Backend(Environment& environment, BackendOptions options, Journal& journal)
    : environment_(environment),
      options_(std::move(options)),
      journal_(journal),
      started_at_(environment.now()),
      reported_at_(environment.now()) {}

Backend::~Backend() = default;

void Backend::handle(std::shared_ptr<HttpExchange> exchange) {
  const HttpRequest& request = exchange->request();
  if (request.path == "/journal") return exchange->reply(jsonReply(kOk, journal_.format()));
  if (request.path == "/health") return exchange->reply(healthReply());
  if (request.path == "/load") return exchange->reply(loadReply());
  if (request.path.starts_with("/control/")) return exchange->reply(controlReply(request));
  admit(std::move(exchange));
}

void Backend::refuseConnection(HttpExchange& exchange) {
  refuse(exchange, "connection_limit", counts_.refused_connection);
}

void Backend::admit(std::shared_ptr<HttpExchange> exchange) {
  if (draining_) return refuse(*exchange, "draining", counts_.refused_draining);
  const HttpRequest& request = exchange->request();
  const auto deadline = parseNumber(request.header(http_headers::kDeadlineMs));
  if (deadline == std::uint64_t{0}) {
    return refuse(*exchange, "deadline", counts_.refused_deadline);
  }
  const bool full = running_.size() >= options_.slots && queued_.size() >= options_.queue_limit;
  if (full) return refuse(*exchange, "full", counts_.refused_full);

  const auto work = std::make_shared<Work>();
  work->request_id = std::string(request.header(http_headers::kRequestId));
  work->exchange = std::move(exchange);
  work->exchange->onDisconnect([this, work] { cancel(work); });
  if (deadline) {
    work->deadline_timer =
        environment_.schedule(milliseconds(*deadline), [this, work] { expire(work); });
  }
  startOrQueue(work);
}

void Backend::refuse(HttpExchange& exchange, std::string_view reason, std::uint64_t& counter) {
  ++counter;
  const std::string_view request_id = exchange.request().header(http_headers::kRequestId);
  journal_.record(request_id, JournalEvent::kRefused);
  HttpReply reply = jsonReply(kUnavailable, "{}");
  reply.headers.push_back({http_headers::kOutcome, http_headers::kOutcomeNotRun});
  reply.headers.push_back({http_headers::kReason, std::string(reason)});
  reply.headers.push_back({http_headers::kRequestId, std::string(request_id)});
  reply.headers.push_back({http_headers::kLoad, loadText()});
  reply.headers.push_back({"Retry-After", retryAfterText(options_.retry_after)});
  if (draining_) reply.headers.push_back({http_headers::kDraining, "1"});
  exchange.reply(std::move(reply));
}

void Backend::startOrQueue(const WorkPointer& work) {
  if (running_.size() < options_.slots) {
    start(work);
  } else {
    queued_.push_back(work);
  }
  updateLoadReport();
}

void Backend::start(const WorkPointer& work) {
  work->running = true;
  running_.push_back(work);
  journal_.record(work->request_id, JournalEvent::kStarted);
  if (options_.fault == BackendFault::kStuck) return;
  work->work_timer =
      environment_.schedule(workTime(work->exchange->request()), [this, work] { complete(work); });
}

Duration Backend::workTime(const HttpRequest& request) const {
  const auto asked = parseNumber(request.parameter("time_ms"));
  const Duration time = asked ? milliseconds(*asked) : options_.service_time;
  const bool cold = environment_.now() - started_at_ < options_.cold_start;
  return cold ? time * options_.cold_factor : time;
}

void Backend::complete(const WorkPointer& work) {
  if (work->finished) return;
  work->work_timer = 0;
  journal_.record(work->request_id, JournalEvent::kCompleted);
  ++counts_.completed;
  const std::shared_ptr<HttpExchange> exchange = work->exchange;
  HttpReply reply = answer(*work);
  remove(work);
  exchange->reply(std::move(reply));
  notifyIfDrained();
}

HttpReply Backend::answer(const Work& work) const {
  const HttpRequest& request = work.exchange->request();
  const std::size_t size = parseNumber(request.parameter("size")).value_or(options_.answer_bytes);
  HttpReply reply;
  reply.headers.push_back({"Content-Type", "text/plain"});
  reply.headers.push_back({http_headers::kRequestId, work.request_id});
  reply.headers.push_back({http_headers::kLoad, loadText()});
  reply.headers.push_back({kBackendHeader, options_.id});
  if (draining_) reply.headers.push_back({http_headers::kDraining, "1"});
  const std::string_view echoed = request.parameter("echo");
  if (!echoed.empty()) reply.headers.push_back({kEchoHeader, std::string(request.header(echoed))});
  reply.body = makeAnswerBody(work.request_id, size);
  reply.chunked = request.parameter("chunked") == "1";
  if (options_.fault == BackendFault::kCut) reply.fault = BodyFault::kCut;
  if (options_.fault == BackendFault::kStall) reply.fault = BodyFault::kStall;
  reply.fault_after = size / 2;
  return reply;
}

void Backend::cancel(const WorkPointer& work) {
  if (work->finished) return;
  if (work->running) {
    journal_.record(work->request_id, JournalEvent::kCancelled);
    ++counts_.cancelled;
  }
  remove(work);
  notifyIfDrained();
}

void Backend::expire(const WorkPointer& work) {
  work->deadline_timer = 0;
  if (work->finished) return;
  const std::shared_ptr<HttpExchange> exchange = work->exchange;
  if (work->running) {
    journal_.record(work->request_id, JournalEvent::kCancelled);
    ++counts_.cancelled;
    remove(work);
    exchange->reply(deadlineExceededReply(work->request_id));
  } else {
    remove(work);
    refuse(*exchange, "deadline", counts_.refused_deadline);
  }
  notifyIfDrained();
}

void Backend::remove(const WorkPointer& work) {
  work->finished = true;
  if (work->work_timer != 0) environment_.cancel(work->work_timer);
  if (work->deadline_timer != 0) environment_.cancel(work->deadline_timer);
  std::erase(running_, work);
  std::erase(queued_, work);
  startQueued();
  updateLoadReport();
}

void Backend::startQueued() {
  while (!queued_.empty() && running_.size() < options_.slots) {
    const WorkPointer next = queued_.front();
    queued_.pop_front();
    start(next);
  }
}

void Backend::drain(std::function<void()> on_drained) {
  draining_ = true;
  on_drained_ = std::move(on_drained);
  notifyIfDrained();
}

void Backend::notifyIfDrained() {
  const bool drained = draining_ && running_.empty() && queued_.empty();
  if (drained && on_drained_) std::exchange(on_drained_, nullptr)();
}

void Backend::updateLoadReport() {
  const TimePoint now = environment_.now();
  if (options_.load_lag > Duration::zero() && now - reported_at_ < options_.load_lag) return;
  reported_ = {running_.size(), queued_.size()};
  reported_at_ = now;
}

std::string Backend::loadText() const {
  if (options_.load_lie) return *options_.load_lie;
  return std::to_string(reported_.busy + reported_.queued) + "/" + std::to_string(options_.slots);
}

HttpReply Backend::loadReply() const {
  if (options_.load_lie) return jsonReply(kOk, json{{"load", *options_.load_lie}}.dump());
  return jsonReply(kOk, json{{"busy", reported_.busy},
                             {"queued", reported_.queued},
                             {"slots", options_.slots},
                             {"load", loadText()}}
                            .dump());
}

HttpReply Backend::healthReply() const {
  const bool reports_healthy = !draining_ || options_.health_lies;
  HttpReply reply;
  reply.status = reports_healthy ? kOk : kUnavailable;
  reply.body = reports_healthy ? "ok" : "draining";
  return reply;
}

HttpReply Backend::controlReply(const HttpRequest& request) {
  if (request.path == "/control/statistics") return jsonReply(kOk, statisticsText());
  if (request.path == "/control/behaviour") return changeBehaviour(request);
  if (request.path == "/control/drain") {
    if (on_drain_request_) on_drain_request_();
    return jsonReply(kOk, "{}");
  }
  HttpReply reply = jsonReply(kBadRequest, "{}");
  return reply;
}

HttpReply Backend::changeBehaviour(const HttpRequest& request) {
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object())
    return jsonReply(kBadRequest, R"({"message": "the body is not a JSON object"})");
  try {
    BackendOptions changed = options_;
    changed.slots = body.value("slots", changed.slots);
    changed.queue_limit = body.value("queue_limit", changed.queue_limit);
    changed.answer_bytes = body.value("answer_bytes", changed.answer_bytes);
    changed.health_lies = body.value("health_lies", changed.health_lies);
    if (body.contains("service_time_ms")) {
      changed.service_time = milliseconds(body["service_time_ms"].get<std::uint64_t>());
    }
    if (body.contains("load_lag_ms")) {
      changed.load_lag = milliseconds(body["load_lag_ms"].get<std::uint64_t>());
    }
    if (body.contains("load_lie")) {
      changed.load_lie.reset();
      if (body["load_lie"].is_string()) changed.load_lie = body["load_lie"].get<std::string>();
    }
    if (body.contains("fault")) {
      const auto fault = parseBackendFault(body["fault"].get<std::string>());
      if (!fault) return jsonReply(kBadRequest, R"({"message": "unknown fault"})");
      changed.fault = *fault;
    }
    options_ = std::move(changed);
  } catch (const json::exception& error) {
    return jsonReply(kBadRequest, json{{"message", error.what()}}.dump());
  }
  return jsonReply(kOk, "{}");
}

std::string Backend::statisticsText() const {
  return json{{"id", options_.id},
              {"service", options_.service},
              {"busy", running_.size()},
              {"queued", queued_.size()},
              {"draining", draining_},
              {"completed", counts_.completed},
              {"cancelled", counts_.cancelled},
              {"refused_full", counts_.refused_full},
              {"refused_draining", counts_.refused_draining},
              {"refused_deadline", counts_.refused_deadline},
              {"refused_connection", counts_.refused_connection}}
      .dump();
}

}  // namespace coursepond::standin
