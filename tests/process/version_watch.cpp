#include "process/version_watch.h"

#include <algorithm>
#include <sstream>

#include "process/test_configuration.h"

namespace coursepond::process_tests {

namespace {

constexpr Duration kPollInterval = std::chrono::milliseconds(20);
constexpr Duration kPollTimeout = std::chrono::seconds(1);
constexpr int kOk = 200;

}  // namespace

VersionWatch::VersionWatch(const std::vector<Address>& nodes)
    : environment_(context_), client_(context_) {
  for (const Address& address : nodes) nodes_.push_back({address, {}, {}, {}});
  for (Node& node : nodes_) poll(node);
  thread_ = std::thread([this] { context_.run(); });
}

VersionWatch::~VersionWatch() {
  context_.stop();
  thread_.join();
}

void VersionWatch::poll(Node& node) {
  runtime::HttpClientRequest request;
  request.target = kWitnessTarget;
  const TimePoint asked_at = environment_.now();
  client_.request(node.address, std::move(request), kPollTimeout,
                  [this, &node, asked_at](const Result<runtime::HttpClientResponse>& response) {
                    if (response) observe(node, asked_at, *response);
                    environment_.schedule(kPollInterval, [this, &node] { poll(node); });
                  });
}

void VersionWatch::observe(Node& node, TimePoint asked_at,
                           const runtime::HttpClientResponse& response) {
  const std::scoped_lock lock(mutex_);
  const Version version = versionOf(response);
  if (version == Version()) return;
  ++observations_;
  if (response.status == kOk) ++checked_answers_;
  std::ostringstream fault;
  fault << formatAddress(node.address) << ": ";
  if (version < node.highest) {
    fault << "version " << version << " after " << node.highest;
    faults_.push_back(fault.str());
  } else if (!matchesItsVersion(response)) {
    fault << "an answer does not match version " << version;
    faults_.push_back(fault.str());
  }
  node.highest = std::max(node.highest, version);
  node.latest = version;
  node.asked_at = asked_at;
}

bool VersionWatch::allServe(Version version, TimePoint since) const {
  const std::scoped_lock lock(mutex_);
  return std::all_of(nodes_.begin(), nodes_.end(), [&](const Node& node) {
    return node.asked_at >= since && node.latest >= version;
  });
}

std::vector<std::string> VersionWatch::faults() const {
  const std::scoped_lock lock(mutex_);
  return faults_;
}

std::uint64_t VersionWatch::observations() const {
  const std::scoped_lock lock(mutex_);
  return observations_;
}

std::uint64_t VersionWatch::checkedAnswers() const {
  const std::scoped_lock lock(mutex_);
  return checked_answers_;
}

}  // namespace coursepond::process_tests
