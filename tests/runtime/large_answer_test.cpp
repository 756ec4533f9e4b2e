// Tests that answers which take long because they are large, and not because of a stall, arrive.

#include <doctest/doctest.h>

#include "runtime/http_client.h"
#include "runtime/http_platform_client.h"
#include "runtime/http_server.h"
#include "support/limited_link.h"

namespace coursepond::runtime {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t kLinkBytes = 8'000'000;
/// Takes two seconds on that link, and exceeds the buffers of loopback sockets.
constexpr std::size_t kAnswerBytes = 16'000'000;

/// A server behind a limited link that gives large answers only.
class LargeAnswers {
 public:
  explicit LargeAnswers(const HttpServerLimits& limits)
      : server_(
            std::move(*HttpServer::create(context_, Address{"127.0.0.1", 0}, limits,
                                          [](const HttpRequest&, const HttpResponder& responder) {
                                            HttpResponse response;
                                            response.body = std::string(kAnswerBytes, 'x');
                                            responder.respond(std::move(response));
                                          }))),
        link_(context_, server_->address(), kLinkBytes) {}

  boost::asio::io_context& context() { return context_; }
  Address address() const { return link_.address(); }

 private:
  boost::asio::io_context context_;
  std::unique_ptr<HttpServer> server_;
  testing::LimitedLink link_;
};

}  // namespace

TEST_CASE("a server does not cut an answer that its caller keeps reading") {
  HttpServerLimits limits;
  limits.write_timeout = 500ms;
  LargeAnswers bench(limits);
  HttpClient client(bench.context());
  std::optional<std::size_t> received;
  client.request(bench.address(), {}, 20s, [&](const Result<HttpClientResponse>& answer) {
    received = answer ? answer->body.size() : 0;
    bench.context().stop();
  });
  bench.context().run_for(20s);
  CHECK(received == kAnswerBytes);
}

TEST_CASE("a configuration that takes longer to arrive than the read timeout is read completely") {
  LargeAnswers bench({});
  HttpPlatformClient platform(bench.context(), bench.address(), 1s, 2 * kAnswerBytes);
  std::optional<Result<source::PlatformAnswer>> read;
  platform.readNewest("", [&](Result<source::PlatformAnswer> answer) {
    read = std::move(answer);
    bench.context().stop();
  });
  bench.context().run_for(20s);
  REQUIRE(read.has_value());
  CHECK(read->has_value());
}

}  // namespace coursepond::runtime
