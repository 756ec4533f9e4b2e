#include "node/peer_state_exchange.h"

#include <algorithm>
#include <charconv>

#include "node/query.h"

namespace coursepond::node {
namespace {

constexpr int kOk = 200;
constexpr int kNoContent = 204;
constexpr int kNotFound = 404;
constexpr int kServiceUnavailable = 503;
constexpr std::string_view kServersPath = "/v1/state/servers";
constexpr std::string_view kConfigurationPath = "/v1/state/configuration";
constexpr std::string_view kAgeHeader = "State-Age-Ms";
/// How long a request waits for the first state of a node that has just started. Such a node has
/// the server list within a few hundred milliseconds. Must be shorter than
/// RelaySettings::peer_slack, for which the requesting node waits for an answer.
constexpr Duration kFirstStateTimeout = std::chrono::milliseconds(300);
/// Upper bound for the wait that a request may ask for.
constexpr std::uint64_t kMaxWaitMs = 30'000;

/// Returns the topic served at `path`, if any.
std::optional<source::Topic> topicOf(std::string_view path) {
  if (path == kServersPath) return source::Topic::kServers;
  if (path == kConfigurationPath) return source::Topic::kConfiguration;
  return std::nullopt;
}

source::StateRequest questionOf(source::Topic topic, std::string_view query) {
  source::StateRequest question;
  question.topic = topic;
  question.after = {Era(parseNumber(query, "era")), Generation(parseNumber(query, "after"))};
  question.version = Version(parseNumber(query, "version"));
  question.wait = std::chrono::milliseconds(std::min(parseNumber(query, "wait_ms"), kMaxWaitMs));
  question.only_fresh = parseNumber(query, "fresh") == 1;
  return question;
}

std::string targetOf(const source::StateRequest& question) {
  const std::string after = "?era=" + std::to_string(question.after.era.value()) +
                            "&after=" + std::to_string(question.after.number.value());
  const std::string held = question.topic == source::Topic::kServers
                               ? std::string(kServersPath) + after
                               : std::string(kConfigurationPath) + after +
                                     "&version=" + std::to_string(question.version.value());
  return held + "&wait_ms=" + std::to_string(toMilliseconds(question.wait)) +
         "&fresh=" + (question.only_fresh ? "1" : "0");
}

runtime::HttpResponse plainAnswer(int status) {
  runtime::HttpResponse response;
  response.status = status;
  return response;
}

std::optional<Duration> ageOf(const runtime::HttpClientResponse& response) {
  const auto text = runtime::findHeader(response.headers, kAgeHeader);
  if (!text) return std::nullopt;
  std::uint32_t age_ms = 0;
  const auto [end, status] = std::from_chars(text->data(), text->data() + text->size(), age_ms);
  if (status != std::errc()) return std::nullopt;
  return std::chrono::milliseconds(age_ms);
}

Result<std::optional<source::StateUpdate>> interpret(
    const Result<runtime::HttpClientResponse>& response) {
  if (!response) return response.error();
  if (response->status == kNoContent) return std::optional<source::StateUpdate>();
  if (response->status == kServiceUnavailable) {
    return Error{ErrorKind::kOverloaded, "the peer is not reading the source at the moment",
                 "none needed: another peer is asked"};
  }
  if (response->status != kOk) {
    return Error{ErrorKind::kUnavailable,
                 "the peer answered with status " + std::to_string(response->status),
                 "none needed: another peer is asked"};
  }
  Result<source::StateUpdate> update = source::decodeStateUpdate(response->body);
  if (!update) return update.error();
  update->age = ageOf(*response);
  return std::optional<source::StateUpdate>(std::move(*update));
}

}  // namespace

Result<std::unique_ptr<PeerStateServer>> PeerStateServer::create(boost::asio::io_context& context,
                                                                 const Address& listen,
                                                                 const source::HeldState& held,
                                                                 Environment& environment,
                                                                 FreshnessCheck is_fresh) {
  std::unique_ptr<PeerStateServer> server(
      new PeerStateServer(held, environment, std::move(is_fresh)));
  auto http = runtime::HttpServer::create(
      context, listen, {},
      [self = server.get()](const runtime::HttpRequest& request, runtime::HttpResponder responder) {
        self->answer(request, std::move(responder));
      });
  if (!http) return http.error();
  server->server_ = std::move(*http);
  return server;
}

PeerStateServer::~PeerStateServer() {
  for (const PendingRequest& pending : pending_) environment_.cancel(pending.timer);
}

bool PeerStateServer::hasState(source::Topic topic) const {
  const bool is_listed = held_.revision(topic) != SourceRevision();
  return is_listed && (topic == source::Topic::kServers || held_.configuration() != nullptr);
}

/// The requesting node continues from the revision in the answer, so it cannot use an answer from
/// an earlier era.
bool PeerStateServer::satisfiesFreshness(const source::StateRequest& question) const {
  if (!question.only_fresh) return true;
  return is_fresh_(question.topic) && question.after.era <= held_.revision(question.topic).era;
}

bool PeerStateServer::hasNewerState(const source::StateRequest& question) const {
  return question.topic == source::Topic::kServers
             ? held_.hasServersSince(question.after)
             : held_.hasConfigurationSince(question.version, question.after);
}

void PeerStateServer::answer(const runtime::HttpRequest& request,
                             runtime::HttpResponder responder) {
  if (const auto handler = handlers_.find(request.path()); handler != handlers_.end()) {
    return responder.respond(handler->second(request));
  }
  const std::optional<source::Topic> topic = topicOf(request.path());
  if (!topic || request.method != "GET") return responder.respond(plainAnswer(kNotFound));
  const source::StateRequest question = questionOf(*topic, request.query());
  const bool is_ahead = question.version > held_.version();
  if (is_ahead && on_requester_ahead_) on_requester_ahead_(request.remote.host);
  if (!hasState(*topic)) return waitForFirstState(question, std::move(responder));
  if (!satisfiesFreshness(question)) {
    responder.respond(plainAnswer(kServiceUnavailable));
    if (on_refused_) on_refused_(*topic);
    return;
  }
  if (hasNewerState(question)) return responder.respond(makeAnswer(question));
  if (question.wait == Duration(0)) return responder.respond(plainAnswer(kNoContent));
  wait(question, std::move(responder));
}

void PeerStateServer::wait(const source::StateRequest& question, runtime::HttpResponder responder) {
  holdRequest(question, std::move(responder), question.wait,
              [this, question] { return makeAnswer(question); });
}

/// Holds the request for a short time because this node has just started and may soon have state.
/// When a whole fleet starts, nodes that were rejected at once would all read the source.
void PeerStateServer::waitForFirstState(const source::StateRequest& question,
                                        runtime::HttpResponder responder) {
  holdRequest(question, std::move(responder), kFirstStateTimeout,
              [] { return plainAnswer(kServiceUnavailable); });
}

void PeerStateServer::holdRequest(const source::StateRequest& question,
                                  runtime::HttpResponder responder, Duration timeout,
                                  std::function<runtime::HttpResponse()> answer_on_timeout) {
  pending_.push_back({question, std::move(responder), 0});
  const auto entry = std::prev(pending_.end());
  entry->timer = environment_.schedule(
      timeout, [this, entry, answer_on_timeout = std::move(answer_on_timeout)] {
        entry->responder.respond(answer_on_timeout());
        pending_.erase(entry);
      });
}

template <typename Condition>
void PeerStateServer::answerPending(const Condition& should_answer) {
  std::erase_if(pending_, [&](const PendingRequest& pending) {
    if (!should_answer(pending.question)) return false;
    environment_.cancel(pending.timer);
    pending.responder.respond(makeAnswer(pending.question));
    return true;
  });
}

void PeerStateServer::onStateChanged(source::Topic topic) {
  answerPending([&](const source::StateRequest& question) {
    return question.topic == topic && hasNewerState(question);
  });
}

void PeerStateServer::onVersionConfirmed() {
  if (!hasState(source::Topic::kConfiguration)) return;
  answerPending([](const source::StateRequest& question) {
    return question.topic == source::Topic::kConfiguration;
  });
}

void PeerStateServer::rejectPending(source::Topic topic) {
  std::erase_if(pending_, [&](const PendingRequest& pending) {
    if (pending.question.topic != topic) return false;
    environment_.cancel(pending.timer);
    pending.responder.respond(plainAnswer(kServiceUnavailable));
    return true;
  });
}

const std::string& PeerStateServer::encodedAnswer(const source::StateRequest& question) {
  const bool is_servers = question.topic == source::Topic::kServers;
  EncodedAnswer& answer = is_servers ? servers_answer_ : configuration_answer_;
  const std::uint64_t edition = held_.changeCount(question.topic);
  // A configuration update does not depend on `after`, so requests with different `after` share it.
  // Encoding the configuration is the expensive part.
  const bool is_same = (!is_servers || answer.requested_after == question.after) &&
                       answer.requested_version == question.version && answer.edition == edition;
  if (is_same && !answer.bytes.empty()) return answer.bytes;
  answer.bytes = source::encodeStateUpdate(is_servers ? held_.serversSince(question.after)
                                                      : held_.configurationSince(question.version));
  answer.requested_after = question.after;
  answer.requested_version = question.version;
  answer.edition = edition;
  return answer.bytes;
}

runtime::HttpResponse PeerStateServer::makeAnswer(const source::StateRequest& question) {
  runtime::HttpResponse response;
  response.content_type = "application/octet-stream";
  response.body = encodedAnswer(question);
  const bool is_of_version = question.topic == source::Topic::kConfiguration && version_age_;
  const std::optional<Duration> age = is_of_version ? version_age_() : std::nullopt;
  if (age) {
    const std::string age_ms = std::to_string(toMilliseconds(*age));
    response.headers.push_back({std::string(kAgeHeader), age_ms});
  }
  return response;
}

void HttpPeerStateClient::readWithProgress(const std::string& host,
                                           const source::StateRequest& question, Duration timeout,
                                           std::function<void()> on_begun,
                                           source::PeerStateCallback callback) {
  runtime::HttpClientRequest request;
  request.on_first_bytes = std::move(on_begun);
  request.target = targetOf(question);
  request.stall_limit = settings_.stall_limit;
  // Server updates are small, so a peer that takes long to send one is treated as failed.
  if (question.topic == source::Topic::kServers) request.answer_timeout = settings_.stall_limit;
  client_.request(
      Address{host, port_}, std::move(request), timeout,
      [callback = std::move(callback)](const Result<runtime::HttpClientResponse>& response) {
        callback(interpret(response));
      });
}

}  // namespace coursepond::node
