#pragma once

/// Counts the bytes of a node's exchanges with the platform.

#include <memory>
#include <string>

#include "source/platform_client.h"

namespace coursepond::bench {

/// Bytes and number of the exchanges of any number of clients.
struct PlatformTraffic {
  double bytes = 0;
  std::uint64_t reads = 0;
};

/// Forwards requests to another client and adds up the HTTP/1.1 bytes that they would take. Bodies
/// are counted at their size compressed with zstd, which favours systems that read a lot.
class CountingClient final : public source::PlatformClient {
 public:
  CountingClient(std::unique_ptr<source::PlatformClient> inner, PlatformTraffic& traffic)
      : inner_(std::move(inner)), traffic_(traffic) {}

  void readNewest(const std::string& entity_tag, source::PlatformCallback callback) override;
  void readConfiguration(Version version, source::PlatformCallback callback) override;
  void readMachines(const std::string& entity_tag, source::PlatformCallback callback) override;

 private:
  source::PlatformCallback counted(const std::string& path, const std::string& entity_tag,
                                   source::PlatformCallback callback);

  std::unique_ptr<source::PlatformClient> inner_;
  PlatformTraffic& traffic_;
};

}  // namespace coursepond::bench
