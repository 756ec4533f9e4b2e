#include "node/suspect_exchange.h"

#include <doctest/doctest.h>

#include <random>

#include "support/fingerprints.h"
#include "support/virtual_environment.h"

namespace coursepond::node {
namespace {

using admission::SuspectMessage;
using admission::SuspectReport;
using std::chrono::milliseconds;

SuspectMessage makeMessage() {
  SuspectMessage message;
  message.summary = 0xfedcba9876543210;
  message.reports.push_back({RequestFingerprint(7), 3, milliseconds(1500), {1, 2}, {9}});
  message.reports.push_back({RequestFingerprint(8), 0, milliseconds(0), {}, {}});
  message.reports.push_back({RequestFingerprint(9),
                             1,
                             milliseconds(20),
                             {3},
                             {},
                             RequestFingerprint(0xfedcba9876543210)});
  return message;
}

/// Never exchanges messages.
class NoPeers final : public admission::SuspectPeers {
  void exchange(const std::string&, const SuspectMessage&, Callback) override {}
};

}  // namespace

TEST_CASE("a crash suspect message survives encoding and decoding") {
  const SuspectMessage sent = makeMessage();
  const Result<SuspectMessage> decoded = decodeSuspects(encodeSuspects(sent));
  REQUIRE(decoded.has_value());
  CHECK(decoded->summary == sent.summary);
  CHECK(decoded->reports == sent.reports);
}

TEST_CASE(
    "truncated messages are rejected with a remedy, and corrupted ones do not crash the decoder") {
  const std::string whole = encodeSuspects(makeMessage());
  for (std::size_t size = 0; size < whole.size(); ++size) {
    const Result<SuspectMessage> cut = decodeSuspects(whole.substr(0, size));
    REQUIRE_FALSE(cut.has_value());
    CHECK(cut.error().kind == ErrorKind::kMalformed);
    CHECK_FALSE(cut.error().remedy.empty());
  }
  std::mt19937_64 random(7);
  for (int count = 0; count < 20'000; ++count) {
    std::string changed = whole;
    changed[random() % changed.size()] = static_cast<char>(random());
    const Result<SuspectMessage> decoded = decodeSuspects(changed);
    if (!decoded) CHECK(decoded.error().kind == ErrorKind::kMalformed);
  }
}

TEST_CASE("a node answers with its reports over HTTP, and with 400 to a malformed message") {
  proxy::VirtualEnvironment environment;
  admission::CrashSuspects suspects;
  NoPeers no_peers;
  admission::SuspectGossip gossip(suspects, no_peers, environment);
  for (const ServerEndId end : {1, 2}) {
    suspects.onServerEnd(end, std::vector{wholeRequest(RequestFingerprint(7))}, environment.now());
  }
  runtime::HttpRequest request;
  request.body = encodeSuspects({});
  const runtime::HttpResponse answer = answerSuspects(request, gossip);
  CHECK(answer.status == 200);
  const Result<SuspectMessage> reply = decodeSuspects(answer.body);
  REQUIRE(reply.has_value());
  REQUIRE(reply->reports.size() == 1);
  CHECK(reply->reports[0].ends == std::vector<ServerEndId>{1, 2});
  request.body = "no message";
  CHECK(answerSuspects(request, gossip).status == 400);
}

}  // namespace coursepond::node
