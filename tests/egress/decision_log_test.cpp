// Tests the events that an egress reports to the decision log about its servers.

#include "proxy/decision_log.h"

#include <doctest/doctest.h>

#include "egress/egress_state.h"
#include "support/virtual_environment.h"

namespace coursepond::egress {
namespace {

using proxy::ServerChange;
using std::chrono::seconds;

class RecordingLog final : public proxy::DecisionLog {
 public:
  void onDecision(const proxy::Decision& /*decision*/) override {}
  void onServerChange(ServerChange change, const EndpointId& /*server*/) override {
    changes.push_back(change);
  }
  std::vector<ServerChange> take() { return std::exchange(changes, {}); }

  std::vector<ServerChange> changes;
};

struct LogFixture {
  LogFixture() { state.setDecisionLog(&log); }

  void put(model::MachineState machine_state, std::uint64_t revision) {
    model::ServerEntry entry;
    entry.id = EndpointId("s1");
    entry.service = ServiceName("stock");
    entry.state = machine_state;
    entry.revision = Generation(revision);
    state.directory().upsert(entry, environment.now());
  }

  proxy::VirtualEnvironment environment;
  RecordingLog log;
  proxy::RetryAccounts retries{environment};
  EgressState state{Settings(), retries, environment};
};

}  // namespace

TEST_CASE("a server is logged once each when it is listed, starts to leave and is forgotten") {
  LogFixture fixture;
  fixture.put(model::MachineState::kLive, 1);
  fixture.put(model::MachineState::kLive, 2);
  CHECK(fixture.log.take() == std::vector{ServerChange::kListed});
  fixture.put(model::MachineState::kLeaving, 3);
  fixture.put(model::MachineState::kLeaving, 4);
  CHECK(fixture.log.take() == std::vector{ServerChange::kLeaving});
  fixture.state.directory().remove(EndpointId("s1"), fixture.environment.now());
  CHECK(fixture.log.take() == std::vector{ServerChange::kForgotten});
}

TEST_CASE("an entry is logged when it lapses, returns and is forgotten") {
  LogFixture fixture;
  fixture.put(model::MachineState::kLive, 1);
  fixture.state.directory().remove(EndpointId("s1"), fixture.environment.now());
  fixture.put(model::MachineState::kLive, 2);
  fixture.state.directory().remove(EndpointId("s1"), fixture.environment.now());
  fixture.state.directory().forgetLapsed(fixture.environment.now() + seconds(60));
  CHECK(fixture.log.take() == std::vector{ServerChange::kListed, ServerChange::kLapsed,
                                          ServerChange::kListed, ServerChange::kLapsed,
                                          ServerChange::kForgotten});
}

TEST_CASE(
    "a server is logged once when it becomes unreachable and once when it is reachable again") {
  LogFixture fixture;
  fixture.put(model::MachineState::kLive, 1);
  fixture.log.take();
  Server& server = *fixture.state.directory().all().at(EndpointId("s1"));
  fixture.state.onUnreachable(server, fixture.environment.now());
  fixture.state.onUnreachable(server, fixture.environment.now());
  CHECK(fixture.log.take() == std::vector{ServerChange::kUnreachable});
  fixture.state.onReached(server);
  fixture.state.onReached(server);
  CHECK(fixture.log.take() == std::vector{ServerChange::kReached});
}

}  // namespace coursepond::egress
