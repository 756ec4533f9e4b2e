#include "node/crash_watch.h"

#include <algorithm>
#include <utility>

namespace coursepond::node {
namespace {

/// Maximum number of fingerprints in a "server_ended" log line. Servers run fewer requests at the
/// same time.
constexpr std::size_t kMaxLoggedFingerprints = 40;

}  // namespace

CrashWatch::CrashWatch(boost::asio::io_context& context, const runtime::Settings& settings,
                       Environment& environment, ingress::ServerEndWatch& ends, LogWriter log)
    : environment_(environment),
      ends_(ends),
      log_(std::move(log)),
      port_(context, settings.two_hop.server),
      peers_(context, settings.node.peer_listen.port),
      gossip_(suspects_, peers_, environment, settings.suspect_gossip) {
  ends_.onPortCheckNeeded([this] {
    port_.probe([this](ingress::ServerPort port) { ends_.onPort(port, environment_.now()); });
  });
  ends_.onEnd([this](ServerEndId end, std::span<const RequestFingerprints> requests) {
    onServerEnd(end, requests);
  });
  suspects_.onVerdict([this](RequestFingerprint request, std::size_t server_ends) {
    log_(server_ends > 0 ? "crash_suspect" : "suspect_cleared",
         {{"fingerprint", request.toHex()}, {"ends", std::to_string(server_ends)}});
  });
}

void CrashWatch::onServerEnd(ServerEndId end, std::span<const RequestFingerprints> requests) {
  suspects_.onServerEnd(end, requests, environment_.now());
  std::string fingerprints;
  for (const RequestFingerprints& request :
       requests.first(std::min(requests.size(), kMaxLoggedFingerprints))) {
    fingerprints += (fingerprints.empty() ? "" : ",") + request.narrowest().toHex();
  }
  log_("server_ended", {{"end", RequestFingerprint(end).toHex()},
                        {"requests", std::to_string(requests.size())},
                        {"fingerprints", fingerprints}});
}

void CrashWatch::setMachines(const source::NodeMachine& own,
                             std::span<const source::NodeMachine> machines) {
  std::vector<std::string> own_zone;
  std::vector<std::string> others;
  for (const source::NodeMachine& machine : machines) {
    if (machine.host == own.host) continue;
    (machine.zone == own.zone ? own_zone : others).push_back(machine.host);
  }
  gossip_.setPeers(std::move(own_zone), std::move(others));
}

}  // namespace coursepond::node
