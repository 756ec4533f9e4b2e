#pragma once

/// Reads from the platform's HTTP service. See source/platform_client.h for the protocol.

#include <boost/asio/io_context.hpp>
#include <memory>

#include "core/address.h"
#include "core/time.h"
#include "source/platform_client.h"

namespace coursepond::runtime {

class HttpClient;

class HttpPlatformClient final : public source::PlatformClient {
 public:
  /// `timeout` limits the wait for the first byte of an answer and for each further part. An answer
  /// larger than `answer_limit` bytes is rejected.
  /// `context` must outlive the client.
  HttpPlatformClient(boost::asio::io_context& context, Address platform, Duration timeout,
                     std::uint64_t answer_limit);
  ~HttpPlatformClient() override;

  void readNewest(const std::string& entity_tag, source::PlatformCallback callback) override;
  void readConfiguration(Version version, source::PlatformCallback callback) override;
  void readMachines(const std::string& entity_tag, source::PlatformCallback callback) override;

 private:
  void read(std::string target, const std::string& entity_tag, source::PlatformCallback callback);

  Address platform_;
  Duration timeout_;
  std::unique_ptr<HttpClient> client_;
};

}  // namespace coursepond::runtime
