#include "back_end.h"

#include <algorithm>
#include <charconv>
#include <stdexcept>
#include <utility>

#include "answer_body.h"
#include "wire.h"

namespace coursepond::soak {
namespace {

constexpr std::size_t kQueueLimit = 6;
constexpr int kMisdirected = 421;
constexpr int kUnavailable = 503;
constexpr int kServerFailure = 500;
constexpr std::size_t kConnectionLimit = 200;
constexpr Duration kIdleTimeout = std::chrono::seconds(20);

std::string headerOf(const runtime::HttpRequest& request, std::string_view name) {
  return std::string(runtime::findHeader(request.headers, name).value_or(""));
}

}  // namespace

std::string signatureOf(const std::string& request_id) { return "signed-" + request_id; }

struct BackEnd::Work {
  Work(runtime::HttpResponder with, std::string request_id)
      : responder(std::move(with)), id(std::move(request_id)) {}

  runtime::HttpResponder responder;
  std::string id;
  std::size_t answer_bytes = 0;
  Duration time{};
  std::uint64_t crasher = 0;  ///< See Request::crasher.
  std::size_t run = 0;        ///< Index in Request::runs.
  bool is_over = false;
  TimerId timer = 0;
};

BackEnd::BackEnd(boost::asio::io_context& context, Environment& environment, Ledger& ledger,
                 std::string machine, std::string instance, const Address& listen,
                 ArrivalHandler on_arrival, CrashHandler on_crash)
    : environment_(environment),
      ledger_(ledger),
      machine_(std::move(machine)),
      instance_(std::move(instance)),
      on_arrival_(std::move(on_arrival)),
      on_crash_(std::move(on_crash)) {
  runtime::HttpServerLimits limits;
  limits.connections = kConnectionLimit;
  limits.idle_timeout = kIdleTimeout;
  auto server = runtime::HttpServer::create(
      context, listen, limits,
      [this](const runtime::HttpRequest& request, const runtime::HttpResponder& responder) {
        serve(request, responder);
      });
  if (!server) throw std::runtime_error(describe(server.error()));
  server_ = std::move(*server);
}

BackEnd::~BackEnd() {
  for (const WorkPointer& work : running_) {
    work->is_over = true;
    environment_.cancel(work->timer);
    noteEnd(*work, true);
  }
  for (const WorkPointer& work : waiting_) work->is_over = true;
  server_.reset();
}

void BackEnd::serve(const runtime::HttpRequest& request, const runtime::HttpResponder& responder) {
  const auto work = std::make_shared<Work>(responder, headerOf(request, wire::kRequestId));
  const std::string meant_for = headerOf(request, wire::kTargetInstance);
  if (!meant_for.empty() && meant_for != instance_) return refuse(*work, kMisdirected);
  on_arrival_(work->id);
  work->answer_bytes = wire::numberIn(request.query(), "size");
  work->time = std::chrono::milliseconds(wire::numberIn(request.query(), "time_ms"));
  work->crasher = wire::numberIn(request.query(), "crasher");
  work->responder.onCallerDisconnected([this, work] { drop(work); });
  if (running_.size() < kSlots) return start(work);
  if (waiting_.size() >= kQueueLimit) return refuse(*work, kUnavailable);
  waiting_.push_back(work);
}

void BackEnd::refuse(const Work& work, int status) const {
  runtime::HttpResponse response;
  response.status = status;
  response.headers = {
      {wire::kRequestId, work.id}, {wire::kNotRun, "1"}, {wire::kInstance, instance_}};
  addNotices(response);
  work.responder.respond(std::move(response));
}

/// Adds what the server reports of itself in all its answers.
void BackEnd::addNotices(runtime::HttpResponse& response) const {
  if (limit_) response.headers.push_back({wire::kServerLimit, std::to_string(*limit_)});
  if (is_leaving_) response.headers.push_back({wire::kServerLeaving, "1"});
}

void BackEnd::start(const WorkPointer& work) {
  running_.insert(work);
  if (Request* const request = ledger_.find(work->id)) {
    work->run = request->runs.size();
    request->runs.push_back({instance_, machine_, environment_.now(), TimePoint(), false});
  }
  const auto time = Duration(static_cast<Duration::rep>(work->time.count() * slowdown_));
  work->timer = environment_.schedule(time, [this, work] { finish(work); });
}

void BackEnd::finish(const WorkPointer& work) {
  if (work->crasher > 0) return on_crash_(work->crasher);
  if (std::exchange(work->is_over, true)) return;
  running_.erase(work);
  noteEnd(*work, false);
  answer(*work);
  startNext();
}

void BackEnd::answer(const Work& work) const {
  const Request* const request = ledger_.find(work.id);
  const bool is_first_run = request != nullptr && work.run == 0;
  const AnswerFault injected_fault = is_first_run ? request->injected_fault : AnswerFault::kNone;
  if (injected_fault == AnswerFault::kCut) return work.responder.cut();
  runtime::HttpResponse response;
  response.headers = {{wire::kRequestId, work.id},
                      {wire::kSignature, signatureOf(work.id)},
                      {wire::kInstance, instance_}};
  addNotices(response);
  if (injected_fault == AnswerFault::kFailure) response.status = kServerFailure;
  std::string body = standin::makeAnswerBody(work.id, work.answer_bytes);
  if (injected_fault != AnswerFault::kHalf) {
    response.body = std::move(body);
    return work.responder.respond(std::move(response));
  }
  work.responder.begin(std::move(response));
  work.responder.sendChunk(body.substr(0, body.size() / 2));
  work.responder.cut();
}

/// Called when the connection closes before the response is sent. Cancels the work.
void BackEnd::drop(const WorkPointer& work) {
  if (std::exchange(work->is_over, true)) return;
  environment_.cancel(work->timer);
  if (running_.erase(work) > 0) {
    noteEnd(*work, true);
  } else {
    std::erase(waiting_, work);
  }
  startNext();
}

void BackEnd::startNext() {
  while (!waiting_.empty() && running_.size() < kSlots) {
    const WorkPointer next = waiting_.front();
    waiting_.pop_front();
    start(next);
  }
}

void BackEnd::noteEnd(const Work& work, bool was_cut) {
  Request* const request = ledger_.find(work.id);
  if (request == nullptr) return;
  request->runs.at(work.run).ended = environment_.now();
  request->runs.at(work.run).was_cut = was_cut;
}

}  // namespace coursepond::soak
