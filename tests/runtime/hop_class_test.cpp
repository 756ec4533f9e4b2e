#include <doctest/doctest.h>

#include <string>

#include "runtime/caller_request.h"
#include "runtime/http_head_writer.h"

namespace coursepond::runtime {
namespace {

/// Parses the header that an egress sends to an ingress.
proxy::HopClass parse(const std::string& value) {
  MessageParser parser(MessageParser::Kind::kRequest, {});
  parser.parseHead("GET / HTTP/1.1\r\nHost: a\r\nX-Hop-Class: " + value + "\r\n\r\n");
  REQUIRE(parser.headComplete());
  RequestIdSource ids("t-");
  CallerRequest request;
  proxy::RequestHead head;
  REQUIRE_FALSE(checkRequest(parser.head(), ids, request, head).has_value());
  REQUIRE(head.hop_class.has_value());
  return *head.hop_class;
}

std::string write(const proxy::HopClass& hop) {
  MessageParser parser(MessageParser::Kind::kRequest, {});
  parser.parseHead("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  proxy::AttemptPlan plan;
  plan.hop_class = hop;
  std::string out;
  appendRequestHead(out, {}, parser.head(), plan);
  static const std::string kName = "X-Hop-Class: ";
  const std::size_t begin = out.find(kName) + kName.size();
  return out.substr(begin, out.find("\r\n", begin) - begin);
}

proxy::HopClass hopWith(RequestFingerprints fingerprints) {
  proxy::HopClass hop;
  hop.service = "stock";
  hop.fingerprints = fingerprints;
  return hop;
}

const RequestFingerprint kHead(0xfedcba9876543210);
const RequestFingerprint kWhole(3);

}  // namespace

TEST_CASE("an ingress reads the fingerprints that an egress knows, with and without a send time") {
  for (const bool has_time : {false, true}) {
    for (const RequestFingerprints& known :
         {RequestFingerprints{kHead, {}}, RequestFingerprints{kHead, kWhole},
          RequestFingerprints{{}, kWhole}}) {
      proxy::HopClass hop = hopWith(known);
      if (has_time) hop.sent = proxy::SendTime{5, std::chrono::milliseconds(1234)};
      const proxy::HopClass read = parse(write(hop));
      CHECK(read.fingerprints == known);
      CHECK(read.trial_of.empty());
      REQUIRE(read.sent.has_value() == has_time);
      if (has_time) CHECK(read.sent->at == std::chrono::milliseconds(1234));
    }
  }
}

TEST_CASE("an ingress reads which suspect a trial is allowed of") {
  for (const RequestFingerprint whole : {RequestFingerprint(), kWhole, RequestFingerprint(4)}) {
    proxy::HopClass hop = hopWith({kHead, whole});
    hop.trial_of = kWhole;
    CHECK(parse(write(hop)).trial_of == kWhole);
    CHECK(parse(write(hop)).isTrial() == (whole == kWhole));
  }
  proxy::HopClass without_body = hopWith({{}, kWhole});
  without_body.trial_of = kWhole;
  CHECK(parse(write(without_body)).isTrial());
}

// Guards against nodes of two releases that clear each other's suspects in a rolling update.
TEST_CASE("a node of an earlier release is told whole requests and trials of them only") {
  const std::string old_fields = "stock,0,0,0,0,0,1,";
  CHECK(write(hopWith({kHead, {}})).starts_with(old_fields + "0000000000000000,0,"));
  proxy::HopClass hop = hopWith({kHead, kWhole});
  hop.trial_of = kWhole;
  CHECK(write(hop).starts_with(old_fields + "0000000000000003,1,"));
  hop = hopWith({kHead, {}});
  hop.trial_of = kWhole;
  CHECK(write(hop).starts_with(old_fields + "0000000000000000,0,"));
}

TEST_CASE("the header of an egress of an earlier release is read") {
  const proxy::HopClass trial = parse("stock,1,500,1,0,0,1,0000000000000003,1,,0,7,1234");
  CHECK(trial.fingerprints == RequestFingerprints{{}, kWhole});
  CHECK(trial.isTrial());
  REQUIRE(trial.sent.has_value());
  CHECK(trial.sent->clock == 7);
  CHECK_FALSE(parse("stock,1,500,1,0,0,1,0000000000000003,0").isTrial());
}

}  // namespace coursepond::runtime
