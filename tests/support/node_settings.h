#pragma once

/// The settings file of a node with only the required settings.

namespace coursepond::testing {

inline constexpr char kNodeSettings[] = R"([node]
id = "a1"
zone = "a"
caller_listen = "127.0.0.1:0"
peer_listen = "127.0.0.1:0"
admin_listen = "127.0.0.1:0"
[platform]
address = "127.0.0.1:7000"
[admin]
token = "correct-horse"
)";

}  // namespace coursepond::testing
