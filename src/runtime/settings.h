#pragma once

/// The settings of one node: a TOML file, overridden by flags. The table of keys in
/// settings_keys.h drives checking, printing and the test against docs/operators/SETTINGS.md.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "admission/quota_settings.h"
#include "admission/suspect_gossip.h"
#include "control/control_settings.h"
#include "core/address.h"
#include "core/error.h"
#include "core/ids.h"
#include "core/time.h"
#include "egress/settings.h"
#include "ingress/settings.h"
#include "proxy/link_scheduler.h"
#include "proxy/retry_accounts.h"
#include "proxy/settings.h"
#include "runtime/header_names.h"
#include "runtime/promises.h"
#include "source/relay_client.h"
#include "source/watch_loop.h"

namespace coursepond::runtime {

/// A value that must not be printed or logged. Has no stream operator and no conversion.
class SecretText {
 public:
  SecretText() = default;
  explicit SecretText(std::string value) : value_(std::move(value)) {}
  /// Returns the plain text, only for comparison with what an operator sent.
  const std::string& reveal() const { return value_; }

 private:
  std::string value_;
};

/// [node]: who this process is and where it listens.
struct NodeSettings {
  NodeId id;
  ZoneId zone;
  Address caller_listen;
  Address peer_listen;
  Address peer_advertise;  ///< Port 0: use the address that peer_listen bound.
  Address admin_listen;
  Duration stop_delay = std::chrono::milliseconds(500);
  Duration stop_linger = std::chrono::seconds(1);
  Duration stop_grace = std::chrono::seconds(1);
  Duration stop_timeout = std::chrono::seconds(30);
};

/// [platform]: the read-only source of configuration and machine lists.
struct PlatformSettings {
  Address address;
  std::uint64_t answer_limit_bytes = 64ULL << 20;
};

/// [peer]: the connections between nodes.
struct PeerSettings {
  std::uint64_t frame_limit_bytes = 16ULL << 20;
  std::uint64_t queue_limit_bytes = 32ULL << 20;
  std::uint32_t handshakes_per_second = 100;
  std::uint32_t connection_limit = 1024;
  Duration connect_timeout = std::chrono::seconds(1);
  Duration handshake_timeout = std::chrono::seconds(2);
  Duration reconnect_min = std::chrono::milliseconds(50);
  Duration reconnect_max = std::chrono::seconds(5);
  Duration idle_timeout = std::chrono::seconds(60);
};

/// [proxy]: limits of the data path for callers and back ends.
struct ProxyLimits {
  std::uint32_t connection_limit = 10000;
  std::uint64_t header_limit_bytes = 16ULL << 10;
  std::uint64_t body_limit_bytes = 0;  ///< 0: any length, since bodies are streamed.
  Duration header_timeout = std::chrono::seconds(10);
  Duration body_timeout = std::chrono::seconds(10);
  Duration write_timeout = std::chrono::seconds(10);
  Duration idle_timeout = std::chrono::seconds(60);
  std::uint32_t warm_connections = 1;
};

/// [two_hop]: this machine has one server of its own, which is reached only through this node.
/// Requests go from the egress of the machine on which they originate to the ingress beside the
/// server that runs them.
struct TwoHopSettings {
  Address ingress_listen;  ///< Where other nodes' egresses connect. Empty: servers are reached
                           ///< directly.
  Address server;          ///< This machine's server.
  ServiceName service;     ///< That server's service.
  /// {"zone": "region"}, for routes that name regions; empty: no region is known.
  std::string zone_regions;

  bool enabled() const { return !ingress_listen.host.empty(); }
};

/// [admin]: the operator API.
struct AdminSettings {
  SecretText token;
  std::uint64_t body_limit_bytes = 64ULL << 10;
  std::uint32_t connection_limit = 64;
  std::string readiness_path = "/readyz";
};

enum class LogLevel { kInfo, kWarning, kError };

/// Which decisions on requests are logged.
enum class DecisionLines { kNone, kFailures, kAll };

/// [log]: lines on standard error.
struct LogSettings {
  LogLevel level = LogLevel::kInfo;
  std::uint32_t lines_per_second = 20;
  DecisionLines decisions = DecisionLines::kFailures;
  /// Maximum lines per second for decisions of one kind and reason; further ones are reported as a
  /// count.
  std::uint32_t equal_decisions_per_second = 10;
};

/// The settings in force. Settings of other components are stored in their own types, so that each
/// default is defined in one place.
struct Settings {
  Promises promises;
  NodeSettings node;
  PlatformSettings platform;
  std::string mesh_name = "coursepond";
  control::ControlSettings control;
  PeerSettings peer;
  ProxyLimits proxy;
  proxy::Settings data_path;
  TwoHopSettings two_hop;
  proxy::LinkSettings link;
  admission::QuotaSettings quota;
  admission::SuspectGossipSettings suspect_gossip;
  egress::Settings egress;
  proxy::RetryAllowanceSettings retries;
  ingress::Settings ingress;
  source::WatchSettings watch;
  source::RelaySettings relay;
  HeaderNames headers;
  AdminSettings admin;
  LogSettings log;
};

/// Parses TwoHopSettings::zone_regions. Returns nothing when the text is not a JSON object with
/// string values, and an empty map for empty text.
std::optional<std::map<ZoneId, RegionId>> parseZoneRegions(std::string_view text);

/// One mistake in the settings, with enough detail to correct it.
struct SettingMistake {
  std::uint32_t line = 0;  ///< Line in the file, from 1; 0 for a flag or a missing key.
  std::string key;         ///< "node.zone"; empty when the text is not TOML at that line.
  std::string expected;    ///< What would be valid.
  Error error;
};

/// "line 3: node.zone: invalid_argument: ...; expected ... (remedy: ...)".
std::string describe(const SettingMistake& mistake);

/// A flag "--set section.key=value".
struct SettingOverride {
  std::string key;
  std::string value;  ///< As in TOML, except that text needs no quotation marks.
};

/// Parses "section.key=value"; returns kInvalidArgument for anything else.
Result<SettingOverride> parseOverride(std::string_view text);

struct SettingsOutcome {
  Settings settings;                     ///< Valid only if there are no mistakes.
  std::vector<SettingMistake> mistakes;  ///< All mistakes, ordered by line.
};

/// Applies the settings of the TOML text, then the overrides.
SettingsOutcome loadSettings(std::string_view toml, const std::vector<SettingOverride>& overrides);

/// Returns the settings in force as TOML, without secrets.
std::string printSettings(const Settings& settings);

}  // namespace coursepond::runtime
