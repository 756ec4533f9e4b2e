#include "egress/server_directory.h"

#include <doctest/doctest.h>

namespace coursepond::egress {
namespace {

using std::chrono::seconds;

const ServiceName kStock("stock");

model::ServerEntry makeEntry(const std::string& id, std::uint64_t started_ms = 1000,
                             std::uint64_t revision = 1) {
  model::ServerEntry entry;
  entry.id = EndpointId(id);
  entry.started_ms = started_ms;
  entry.service = kStock;
  entry.address = {"10.0.0.1", 9000};
  entry.revision = Generation(revision);
  return entry;
}

TimePoint at(std::int64_t second) { return TimePoint(seconds(1000 + second)); }

}  // namespace

TEST_CASE("a server that said it leaves is not usable again with any entry of the same instance") {
  const Settings settings;
  ServerDirectory directory(settings);
  directory.upsert(makeEntry("i-1"), at(0));
  REQUIRE(directory.usable(kStock).size() == 1);
  directory.onSaidLeaving(*directory.usable(kStock).front(), at(1));
  CHECK(directory.usable(kStock).empty());
  directory.upsert(makeEntry("i-1", 1000, 2), at(2));
  CHECK(directory.usable(kStock).empty());
  directory.remove(EndpointId("i-1"), at(3));
  CHECK(directory.usable(kStock).empty());
  directory.forgetLapsed(at(30));
  CHECK(directory.all().empty());
  directory.upsert(makeEntry("i-1", 1000, 3), at(60));
  CHECK(directory.usable(kStock).empty());
}

TEST_CASE("a server that is started anew under its id is usable although it said it leaves") {
  const Settings settings;
  ServerDirectory directory(settings);
  directory.upsert(makeEntry("i-1"), at(0));
  directory.onSaidLeaving(*directory.usable(kStock).front(), at(1));
  directory.upsert(makeEntry("i-1", 2000, 2), at(2));
  CHECK(directory.usable(kStock).size() == 1);
  directory.upsert(makeEntry("i-2", 3000, 3), at(3));
  CHECK(directory.usable(kStock).size() == 2);
}

}  // namespace coursepond::egress
