#pragma once

/// Stand-in of the platform's read-only service for tests. It publishes numbered configurations and
/// a machine list, and can be made slow, stale, regressing, unavailable or malformed. It uses no
/// sockets.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"
#include "core/ids.h"
#include "core/time.h"
#include "http_message.h"

namespace coursepond::standin {

/// Fault that the platform injects into its answers, one at a time.
enum class PlatformFault {
  kNone,
  kStale,           ///< Answers with the state at the time the fault began.
  kRegressing,      ///< Reports the version and the generation one below the newest.
  kRefuse,          ///< Closes the connection without an answer.
  kHang,            ///< Never answers.
  kError,           ///< Answers 500.
  kTruncated,       ///< Sends half of the JSON text as a complete response.
  kCut,             ///< Closes the connection in the middle of the answer.
  kInvalidVersion,  ///< Reports a version that is not a number.
};

/// Parses "none", "stale", "regressing", "refuse", "hang", "error", "truncated", "cut" or
/// "invalid_version".
std::optional<PlatformFault> parsePlatformFault(std::string_view name);

enum class MachineState { kLive, kLeaving, kGone };

/// Parses "live", "leaving" or "gone". The last removes the machine from the list.
std::optional<MachineState> parseMachineState(std::string_view name);

/// A node or a back end on the machine list. `service` is empty for a node.
struct Machine {
  std::string id;
  std::string service;
  std::string zone;
  std::string address;
  MachineState state = MachineState::kLive;
};

/// The machine list. Every change increases its generation.
struct MachineList {
  Generation generation;
  std::vector<Machine> machines;
};

/// Parses {"generation"?, "nodes": [..], "backends": [..]}. Fails with kMalformed.
Result<MachineList> parseMachineList(std::string_view json);

/// Number of requests for each kind of document.
struct PlatformStatistics {
  std::uint64_t newest_reads = 0;
  std::uint64_t configuration_reads = 0;
  std::uint64_t machine_reads = 0;
  std::uint64_t not_modified = 0;  ///< Reads of any kind that were answered 304.
  std::uint64_t failed = 0;        ///< Reads of any kind that an injected fault made fail.
};

/// How to answer a request: with a reply, immediately or after a delay, or not at all.
struct PlatformReply {
  enum class Delivery { kReply, kAbort, kHang };
  Delivery delivery = Delivery::kReply;
  Duration delay = Duration{};
  HttpReply reply;
};

class Platform {
 public:
  /// Adds a document that `publish` may then name. The text is served as is, valid or not.
  void addConfiguration(Version version, std::string document);
  /// Makes `version` the newest. Fails with kNotFound when its document was not added.
  Result<Version> publish(Version version);
  /// Replaces the machine list. Its generation becomes at least one above the current one.
  void replaceMachines(MachineList list);
  /// Sets the state of one machine, or removes it for kGone. Fails with kNotFound.
  Result<Generation> setMachineState(std::string_view id, MachineState state);
  /// Adds the machine, or replaces the one with the same id.
  void upsertMachine(Machine machine);
  /// Sets the fault of later reads and their delay. kStale serves the state of this moment.
  void setFault(PlatformFault fault, Duration delay);

  /// Handles /v1/... and /control/... requests. Faults do not affect /control/.
  PlatformReply handle(const HttpRequest& request);

  const PlatformStatistics& statistics() const { return statistics_; }
  Version newest() const { return published_.newest; }
  Generation generation() const { return published_.machines.generation; }

 private:
  struct PublishedState {
    Version newest;
    MachineList machines;
  };

  HttpReply handleRead(const HttpRequest& request);
  PlatformReply applyFault(HttpReply reply);
  HttpReply handleControl(const HttpRequest& request);
  HttpReply controlPublish(const HttpRequest& request);
  HttpReply controlMachines(const HttpRequest& request);
  HttpReply controlFault(const HttpRequest& request);
  HttpReply conditionalReply(const HttpRequest& request, std::string body);
  std::string newestText() const;
  const PublishedState& visibleState() const;
  std::string statisticsText() const;

  std::map<Version, std::string> documents_;
  PublishedState published_;
  PublishedState state_at_fault_;
  PlatformFault fault_ = PlatformFault::kNone;
  Duration delay_{};
  PlatformStatistics statistics_;
};

}  // namespace coursepond::standin
