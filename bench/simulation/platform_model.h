#pragma once

/// Model of the platform's service: numbered configurations and the machine list. Both are
/// read-only and can fail in the ways the platform fails.

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/ids.h"
#include "model/endpoint.h"
#include "process_environment.h"
#include "random_source.h"
#include "source/platform_client.h"
#include "virtual_time.h"

namespace coursepond::simulation {

/// Current condition of the platform.
enum class PlatformCondition {
  kHealthy,
  kDown,       ///< Every read fails.
  kSilent,     ///< Reads are never answered.
  kStale,      ///< Answers with old data; version numbers go back.
  kMalformed,  ///< Bodies are truncated in the middle.
};

/// A back end in the platform's machine list.
struct ListedBackend {
  ServiceName service;
  model::Endpoint endpoint;
};

class PlatformModel {
 public:
  PlatformModel(VirtualTime& time, std::uint64_t seed) : time_(time), random_(seed) {}

  void publish(Version version, std::string document);
  Version newest() const { return newest_; }
  /// Replaces the machine list; readers see the change after the list's lag.
  void setMachines(const std::vector<model::ListedNode>& nodes,
                   const std::vector<ListedBackend>& backends);
  void setCondition(PlatformCondition condition);
  PlatformCondition condition() const { return condition_; }
  void setMachineLag(Duration lag) { machine_lag_ = lag; }

  /// Sets a callback that is called for every read, with the reader's id.
  void setReadObserver(std::function<void(const NodeId& reader)> observer) {
    on_read_ = std::move(observer);
  }

  /// Creates the client for one process.
  std::unique_ptr<source::PlatformClient> makeClient(const NodeId& reader,
                                                     ProcessEnvironment& environment);

 private:
  class Client;
  struct DatedList {
    TimePoint since;
    std::string text;
  };

  void read(const NodeId& reader, ProcessEnvironment& environment, const std::string& entity_tag,
            const std::function<Result<std::string>()>& body, source::PlatformCallback callback);
  Result<source::PlatformAnswer> answer(const std::string& entity_tag,
                                        const Result<std::string>& body) const;
  Result<std::string> newestText() const;
  Result<std::string> configurationText(Version version) const;
  Result<std::string> machinesText() const;

  VirtualTime& time_;
  RandomSource random_;
  PlatformCondition condition_ = PlatformCondition::kHealthy;
  Version newest_;
  Version stale_newest_;
  std::map<Version, std::string> documents_;
  std::deque<DatedList> lists_;
  Generation generation_;
  Duration machine_lag_ = std::chrono::milliseconds(500);
  std::function<void(const NodeId&)> on_read_;
};

}  // namespace coursepond::simulation
