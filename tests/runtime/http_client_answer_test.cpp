// Answers that are broken, as the client for short answers reads them: those of the platform, and
// those to health checks.

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <optional>
#include <string>

#include "runtime/http_client.h"
#include "runtime/proxy_server_fixture.h"
#include "support/endless_server.h"

namespace coursepond::runtime {
namespace {

using namespace std::chrono_literals;

/// More than the sockets of both sides buffer, and far less than a small machine has.
constexpr std::uint64_t kMaxSentBytes = std::uint64_t{64} * 1024 * 1024;

/// Reads an endless answer. Returns nothing if the client does not give up in time.
std::optional<Error> errorFor(const testing::EndlessAnswer& answer) {
  boost::asio::io_context context;
  testing::EndlessServer server(context, answer);
  HttpClientLimits limits;
  limits.body_bytes = std::uint64_t{1} << 20;
  HttpClient client(context, limits);
  HttpClientRequest request;
  request.stall_limit = 5s;
  std::optional<Error> error;
  client.request(server.address(), request, 5s, [&](const Result<HttpClientResponse>& response) {
    REQUIRE(response.has_error());
    error = response.error();
  });
  const auto end = std::chrono::steady_clock::now() + 4s;
  while (!error && server.sentBytes() < kMaxSentBytes && std::chrono::steady_clock::now() < end) {
    context.run_one_for(10ms);
  }
  return error;
}

/// Reads an answer that is sent in pieces of `step` bytes, after which the server closes.
Result<HttpClientResponse> read(const std::string& answer, std::size_t step = 1'000'000) {
  boost::asio::io_context context;
  RawServer server(context, [&](RawServer::Connection& connection) {
    for (std::size_t sent = 0; sent < answer.size(); sent += step) {
      connection.send(answer.substr(sent, step));
      context.poll();
    }
    connection.socket.close();
  });
  HttpClient client(context);
  std::optional<Result<HttpClientResponse>> result;
  client.request(server.address(), {}, 10s,
                 [&](Result<HttpClientResponse> response) { result = std::move(response); });
  while (!result) REQUIRE(context.run_one() > 0);
  return std::move(*result);
}

}  // namespace

TEST_CASE("a proper answer is read whole, whatever pieces it arrives in") {
  for (const std::string framed :
       {"Content-Length: 5\r\n\r\nwhole", "\r\nwhole",
        "Transfer-Encoding: chunked\r\n\r\n2\r\nwh\r\n3;a=b\r\nole\r\n0\r\nX-B: c\r\n\r\n"}) {
    for (const std::size_t step : {1, 7, 1000}) {
      CAPTURE(framed);
      CAPTURE(step);
      const auto answer = read("HTTP/1.1 200 OK\r\nX-A: value\r\n" + framed, step);
      REQUIRE(answer.has_value());
      CHECK(answer->status == 200);
      CHECK(findHeader(answer->headers, "x-a") == "value");
      CHECK(answer->body == "whole");
    }
  }
}

TEST_CASE("an interim answer is not taken for the final one") {
  const auto answer = read(
      "HTTP/1.1 103 Early Hints\r\nX-A: early\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n"
      "HTTP/1.1 204 No Content\r\n\r\n");
  REQUIRE(answer.has_value());
  CHECK(answer->status == 204);
  CHECK(answer->headers.empty());
}

TEST_CASE("an answer without a body may announce any length") {
  const auto answer =
      read("HTTP/1.1 304 Not Modified\r\nContent-Length: 18446744073709551615\r\n\r\n");
  REQUIRE(answer.has_value());
  CHECK(answer->status == 304);
  CHECK(answer->body.empty());
}

// Guards against health and settings that are taken from what is no answer.
TEST_CASE("an answer whose status is below 100 is malformed") {
  for (const std::string status : {"000", "007", "099"}) {
    CAPTURE(status);
    const auto answer = read("HTTP/1.1 " + status + " OK\r\nContent-Length: 5\r\n\r\nwhole");
    REQUIRE(answer.has_error());
    CHECK(answer.error().kind == ErrorKind::kMalformed);
  }
}

TEST_CASE("an answer with a blank or a control byte in the name of a field is malformed") {
  for (const std::string line : {"X A: b", "X-A : b", " X-A: b", "\tX-A: b", "X\x01: b"}) {
    CAPTURE(line);
    const auto answer =
        read("HTTP/1.1 200 OK\r\nX-B: c\r\n" + line + "\r\nContent-Length: 5\r\n\r\nwhole");
    REQUIRE(answer.has_error());
    CHECK(answer.error().kind == ErrorKind::kMalformed);
  }
}

TEST_CASE("an answer that breaks off is an error") {
  for (const std::string framed : {"Content-Length: 6\r\n\r\nwhole",
                                   "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n", "X-A: b"}) {
    CAPTURE(framed);
    const auto answer = read("HTTP/1.1 200 OK\r\n" + framed);
    REQUIRE(answer.has_error());
    CHECK(answer.error().kind == ErrorKind::kUnavailable);
  }
}

// Guards against a node whose memory is filled by an answer that makes progress but never ends.
TEST_CASE("an answer whose head never ends is given up before it fills the memory") {
  for (const testing::EndlessAnswer& answer : testing::endlessHeads()) {
    const std::string name = answer.name;
    CAPTURE(name);
    CHECK(errorFor(answer).has_value());
  }
}

TEST_CASE("an answer whose body never ends is given up before it fills the memory") {
  for (const testing::EndlessAnswer& answer : testing::endlessBodies()) {
    const std::string name = answer.name;
    CAPTURE(name);
    CHECK(errorFor(answer).has_value());
  }
}

}  // namespace coursepond::runtime
