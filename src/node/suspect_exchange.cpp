#include "node/suspect_exchange.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace coursepond::node {
namespace {

using admission::SuspectMessage;
using admission::SuspectReport;
using nlohmann::json;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
/// A node that does not answer within this time is skipped; it gets the reports from other nodes.
constexpr Duration kExchangeTimeout = std::chrono::milliseconds(500);
/// Peers are chosen at random, so a connection is rarely reused soon.
constexpr Duration kIdleTimeout = std::chrono::seconds(5);
/// Upper bound for the reports accepted from one message. Nodes send fewer.
constexpr std::size_t kMaxReports = 1024;
/// Upper bound for the ids accepted in each list of a report.
constexpr std::size_t kMaxIds = 16;

json encodeReport(const SuspectReport& report) {
  return json::array({report.request.value(), report.round,
                      std::max<std::int64_t>(0, toMilliseconds(report.age)), report.ends,
                      report.trials, report.head.value()});
}

std::vector<std::uint64_t> decodeIds(const json& ids) {
  std::vector<std::uint64_t> decoded;
  for (const json& id : ids) {
    if (decoded.size() < kMaxIds) decoded.push_back(id.get<std::uint64_t>());
  }
  return decoded;
}

SuspectReport decodeReport(const json& report) {
  SuspectReport decoded;
  decoded.request = RequestFingerprint(report.at(0).get<std::uint64_t>());
  decoded.round = report.at(1).get<std::uint32_t>();
  decoded.age = std::chrono::milliseconds(report.at(2).get<std::uint32_t>());
  decoded.ends = decodeIds(report.at(3));
  decoded.trials = decodeIds(report.at(4));
  // Nodes of an earlier release do not send it.
  constexpr std::size_t kHeadPosition = 5;
  if (report.size() <= kHeadPosition) return decoded;
  decoded.head = RequestFingerprint(report.at(kHeadPosition).get<std::uint64_t>());
  return decoded;
}

runtime::HttpClientLimits clientLimits() {
  runtime::HttpClientLimits limits;
  limits.idle_connections_per_address = 1;
  limits.idle_timeout = kIdleTimeout;
  return limits;
}

}  // namespace

std::string encodeSuspects(const SuspectMessage& message) {
  json reports = json::array();
  for (const SuspectReport& report : message.reports) reports.push_back(encodeReport(report));
  std::string bytes;
  json::to_cbor(json::array({message.summary, std::move(reports)}), bytes);
  return bytes;
}

Result<SuspectMessage> decodeSuspects(std::string_view bytes) {
  try {
    const json decoded = json::from_cbor(bytes.begin(), bytes.end());
    SuspectMessage message;
    message.summary = decoded.at(0).get<std::uint64_t>();
    for (const json& report : decoded.at(1)) {
      if (message.reports.size() >= kMaxReports) break;
      message.reports.push_back(decodeReport(report));
    }
    return message;
  } catch (const json::exception& error) {
    return Error{ErrorKind::kMalformed,
                 std::string("malformed crash suspect message: ") + error.what(),
                 "run the same version of coursepond on all machines"};
  }
}

runtime::HttpResponse answerSuspects(const runtime::HttpRequest& request,
                                     admission::SuspectGossip& gossip) {
  runtime::HttpResponse response;
  const Result<SuspectMessage> message = decodeSuspects(request.body);
  if (!message) {
    response.status = kBadRequest;
    response.body = describe(message.error());
    return response;
  }
  response.content_type = "application/cbor";
  response.body = encodeSuspects(gossip.onMessage(*message));
  return response;
}

HttpSuspectPeers::HttpSuspectPeers(boost::asio::io_context& context, std::uint16_t port)
    : port_(port), client_(context, clientLimits()) {}

void HttpSuspectPeers::exchange(const std::string& host, const SuspectMessage& message,
                                Callback callback) {
  runtime::HttpClientRequest request;
  request.method = "POST";
  request.target = kSuspectsPath;
  request.body = encodeSuspects(message);
  client_.request(
      Address{host, port_}, std::move(request), kExchangeTimeout,
      [callback = std::move(callback)](const Result<runtime::HttpClientResponse>& response) {
        if (!response || response->status != kOk) return callback(std::nullopt);
        const Result<SuspectMessage> reply = decodeSuspects(response->body);
        callback(reply ? std::optional(*reply) : std::nullopt);
      });
}

}  // namespace coursepond::node
