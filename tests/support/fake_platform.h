#pragma once

/// A fake of the platform's service on a virtual clock, with outages, staleness and malformed
/// answers.

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "source/platform_client.h"
#include "support/virtual_network.h"

namespace coursepond::testing {

/// Contents and behavior of the platform, shared by the clients of all nodes.
struct FakePlatform {
  enum class Mode { kUp, kDown, kSilent };

  explicit FakePlatform(VirtualTime& virtual_time) : time(virtual_time) {}

  void publish(std::uint64_t version, std::string document) {
    documents[Version(version)] = std::move(document);
    newest = Version(version);
  }
  void setMachines(std::uint64_t generation, std::string list) {
    machines_generation = generation;
    machines = std::move(list);
  }

  VirtualTime& time;
  Mode mode = Mode::kUp;
  Duration latency = std::chrono::milliseconds(2);
  Version newest;
  std::map<Version, std::string> documents;
  std::uint64_t machines_generation = 0;
  std::string machines = R"({"generation":0,"nodes":[],"backends":[]})";
  std::uint64_t newest_reads = 0;
  std::uint64_t document_reads = 0;
  std::uint64_t machine_reads = 0;
  std::uint64_t reads() const { return newest_reads + document_reads + machine_reads; }
};

/// The platform client of one node. Answers that arrive while the node is paused are delivered when
/// the pause ends.
class FakePlatformClient final : public source::PlatformClient {
 public:
  FakePlatformClient(FakePlatform& platform, VirtualEnvironment& environment)
      : platform_(platform), environment_(environment) {}

  void readNewest(const std::string& entity_tag, source::PlatformCallback callback) override {
    ++platform_.newest_reads;
    const std::string version = std::to_string(platform_.newest.value());
    answer(entity_tag, "v" + version, "{\"newest\":" + version + "}", std::move(callback));
  }

  void readConfiguration(Version version, source::PlatformCallback callback) override {
    ++platform_.document_reads;
    const auto found = platform_.documents.find(version);
    if (found == platform_.documents.end()) {
      later(Error{ErrorKind::kNotFound, "no such version", "name a published version"},
            std::move(callback));
      return;
    }
    answer("", "d" + std::to_string(version.value()), found->second, std::move(callback));
  }

  void readMachines(const std::string& entity_tag, source::PlatformCallback callback) override {
    ++platform_.machine_reads;
    answer(entity_tag, "m" + std::to_string(platform_.machines_generation), platform_.machines,
           std::move(callback));
  }

 private:
  void answer(const std::string& known_tag, const std::string& tag, const std::string& body,
              source::PlatformCallback callback) {
    if (known_tag == tag) {
      later(source::PlatformAnswer{true, tag, ""}, std::move(callback));
    } else {
      later(source::PlatformAnswer{false, tag, body}, std::move(callback));
    }
  }

  void later(Result<source::PlatformAnswer> result, source::PlatformCallback callback) {
    if (platform_.mode == FakePlatform::Mode::kSilent) {
      return;
    }
    if (platform_.mode == FakePlatform::Mode::kDown) {
      result = Error{ErrorKind::kUnavailable, "connection refused", "start the platform"};
    }
    environment_.schedule(
        platform_.latency,
        [result = std::move(result), callback = std::move(callback)]() { callback(result); });
  }

  FakePlatform& platform_;
  VirtualEnvironment& environment_;
};

/// Returns a valid configuration document with one route per name. All routes lead to the same
/// service and add the same secret to their requests.
inline std::string documentText(std::uint64_t version, const std::vector<std::string>& routes,
                                const std::string& secret_value = "first-secret-value") {
  std::string text = "{\"version\":" + std::to_string(version) + ",\"routes\":[";
  for (const std::string& route : routes) {
    text += text.back() == '[' ? "" : ",";
    text += "{\"name\":\"" + route + "\",\"path_prefix\":\"/" + route +
            "\",\"service\":\"booking\",\"secrets\":[{\"secret\":\"key\",\"header\":\"X-Key\"}]}";
  }
  return text +
         "],\"services\":[{\"name\":\"booking\"}],\"secrets\":[{\"name\":\"key\",\"value\":\"" +
         secret_value + "\"}]}";
}

}  // namespace coursepond::testing
