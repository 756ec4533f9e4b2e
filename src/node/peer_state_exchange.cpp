#include "node/peer_state_exchange.h"

#include <charconv>

namespace coursepond::node {
namespace {

constexpr int kOk = 200;
constexpr int kNoContent = 204;
constexpr int kNotFound = 404;
constexpr int kServiceUnavailable = 503;
constexpr std::string_view kPath = "/v1/state";
constexpr std::string_view kAfter = "after=";

/// The revision the asker holds; zero when it names none.
Generation afterOf(std::string_view query) {
  std::uint64_t revision = 0;
  if (query.starts_with(kAfter)) {
    const std::string_view text = query.substr(kAfter.size());
    std::from_chars(text.data(), text.data() + text.size(), revision);
  }
  return Generation(revision);
}

Result<std::optional<source::SharedState>> interpret(
    const Result<runtime::HttpClientResponse>& response) {
  if (!response) return response.error();
  if (response->status == kNoContent) return std::optional<source::SharedState>();
  if (response->status != kOk) {
    return Error{ErrorKind::kUnavailable, "the peer answered " + std::to_string(response->status),
                 "another peer is asked"};
  }
  Result<source::SharedState> state = source::decodeSharedState(response->body);
  if (!state) return state.error();
  return std::optional<source::SharedState>(std::move(*state));
}

}  // namespace

Result<std::unique_ptr<PeerStateServer>> PeerStateServer::create(boost::asio::io_context& context,
                                                                 const Address& listen,
                                                                 StateSource known) {
  std::unique_ptr<PeerStateServer> server(new PeerStateServer(std::move(known)));
  auto http =
      runtime::HttpServer::create(context, listen, {},
                                  [self = server.get()](const runtime::HttpRequest& request,
                                                        const runtime::HttpResponder& responder) {
                                    responder.respond(self->answer(request));
                                  });
  if (!http) return http.error();
  server->server_ = std::move(*http);
  return server;
}

runtime::HttpResponse PeerStateServer::answer(const runtime::HttpRequest& request) {
  runtime::HttpResponse response;
  if (request.path() != kPath || request.method != "GET") {
    response.status = kNotFound;
    return response;
  }
  const std::optional<source::SharedState> known = known_();
  if (!known) {
    response.status = kServiceUnavailable;
  } else if (known->revision <= afterOf(request.query())) {
    response.status = kNoContent;
  } else {
    response.content_type = "application/cbor";
    response.body = source::encodeSharedState(*known);
  }
  return response;
}

void HttpPeerStateClient::read(const std::string& host, Generation after, Duration timeout,
                               source::PeerStateCallback callback) {
  runtime::HttpClientRequest request;
  request.target = std::string(kPath) + "?" + std::string(kAfter) + std::to_string(after.value());
  client_.request(
      Address{host, port_}, std::move(request), timeout,
      [callback = std::move(callback)](const Result<runtime::HttpClientResponse>& response) {
        callback(interpret(response));
      });
}

}  // namespace coursepond::node
