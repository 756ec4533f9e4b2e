#pragma once

/// A complete mesh of real processes on its own loopback addresses: platform stand-in, nodes and
/// back ends.

#include <memory>
#include <string>
#include <vector>

#include "process/http_caller.h"
#include "process/process_handle.h"

namespace coursepond::process_tests {

struct MeshShape {
  std::size_t zones = 1;
  std::size_t nodes_per_zone = 2;
  std::size_t servers_per_service = 3;
  std::string extra_settings;  ///< TOML text appended to the settings of every node.
};

/// A machine of the mesh and its process. The process is null before its first start.
struct Machine {
  std::string id;
  std::string zone;
  std::string host;     ///< Loopback address of the machine.
  std::string service;  ///< Of a back end; empty for a node.
  std::unique_ptr<ProcessHandle> process;
};

class Mesh {
 public:
  /// Starts the platform with version 1 published, all back ends and all nodes.
  explicit Mesh(MeshShape shape);

  std::vector<Machine>& nodes() { return nodes_; }
  std::vector<Machine>& backEnds() { return back_ends_; }
  Machine& backEnd(const std::string& id);

  Address callerAddress(const Machine& node) const;
  Address adminAddress(const Machine& node) const;
  std::vector<Address> callerAddresses() const;
  const TestFolder& folder() const { return folder_; }
  /// Journal files of all back ends. They survive when a back end is killed.
  std::vector<std::string> journalFiles() const;

  void startNode(Machine& node);
  void startBackEnd(Machine& back_end);

  /// Publishes `document` as that version, or testDocument(version) if `document` is empty.
  void publish(Version version, const std::string& document = "");
  /// Sets the fault of the platform stand-in: "none", "stale", "refuse", ..., see
  /// standin::PlatformFault.
  void setPlatformFault(const std::string& mode);
  /// Sets the state on the platform's machine list: "live", "leaving" or "gone".
  void setMachineState(const std::string& id, const std::string& state);

  /// Requests a plan for the version from that node's admin endpoint.
  Result<runtime::HttpClientResponse> plan(const Machine& node, Version version);
  /// Confirms the plan with that id through that node.
  Result<runtime::HttpClientResponse> confirm(const Machine& node, const std::string& plan_id);
  /// Plans and confirms once. Returns true when the confirmation succeeded or the node reports
  /// `version` or a later one as accepted.
  bool accept(const Machine& node, Version version);

  /// Returns whether the node reports that it holds the role: "source_reader", "zone_distributor"
  /// or "voter".
  bool holdsRole(const Machine& node, const std::string& role);
  /// Returns the accepted version that the node reports, or zero when it does not answer.
  Version acceptedVersion(const Machine& node);

  /// Waits until every running node answers callers under `version` or a later one.
  bool waitForVersion(Version version, Duration limit);

  HttpCaller& caller() { return caller_; }

 private:
  void addNode(std::size_t zone, std::size_t number);
  void addBackEnd(const char* service, std::size_t number);
  std::string nextHost();
  std::string machineListText() const;
  std::string settingsText(const Machine& node) const;
  void startPlatform();
  std::string statusText(const Machine& node);
  void control(const std::string& path, const std::string& body);

  MeshShape shape_;
  std::string subnet_;
  unsigned last_host_ = 0;
  TestFolder folder_;
  HttpCaller caller_;
  Machine platform_;
  std::vector<Machine> nodes_;
  std::vector<Machine> back_ends_;
};

}  // namespace coursepond::process_tests
