#pragma once

/// Polls every node as a caller and records any decrease of the configuration version and any
/// answer that does not match the version it names.

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "core/address.h"
#include "core/ids.h"
#include "runtime/asio_environment.h"
#include "runtime/http_client.h"

namespace coursepond::process_tests {

class VersionWatch {
 public:
  /// Polls the nodes on a separate thread until destruction.
  explicit VersionWatch(const std::vector<Address>& nodes);
  ~VersionWatch();
  VersionWatch(const VersionWatch&) = delete;
  VersionWatch& operator=(const VersionWatch&) = delete;

  /// Returns the faults so far, such as "127.0.0.1:8080: version 2 after 3". The version must not
  /// decrease across a restart of a node either.
  std::vector<std::string> faults() const;
  /// Returns whether the latest answer of every node is to a request sent at or after `since` and
  /// names `version` or a later one.
  bool allServe(Version version, TimePoint since) const;
  TimePoint now() const { return environment_.now(); }
  /// Number of answers that named a version.
  std::uint64_t observations() const;
  /// Number of answers that were compared with the version they named; refusals are not.
  std::uint64_t checkedAnswers() const;

 private:
  struct Node {
    Address address;
    Version highest;
    Version latest;      ///< Version named by the latest answer.
    TimePoint asked_at;  ///< Send time of the request with the latest answer.
  };

  void poll(Node& node);
  void observe(Node& node, TimePoint asked_at, const runtime::HttpClientResponse& response);

  boost::asio::io_context context_{1};
  runtime::AsioEnvironment environment_;
  runtime::HttpClient client_;
  std::vector<Node> nodes_;
  mutable std::mutex mutex_;
  std::vector<std::string> faults_;
  std::uint64_t observations_ = 0;
  std::uint64_t checked_answers_ = 0;
  std::thread thread_;
};

}  // namespace coursepond::process_tests
