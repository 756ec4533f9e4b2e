#include "source/source_reader.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "support/fake_platform.h"

namespace coursepond::testing {
namespace {

using source::FetchOutcome;
using source::SourceEvent;
using source::SourceEventKind;
using namespace std::chrono_literals;

class RecordingSink final : public source::SourceSink {
 public:
  void onConfiguration(const model::ConfigurationDocument& document) override {
    versions.push_back(document.configuration.version);
    newest_known = std::max(newest_known, document.configuration.version);
  }
  void onMachines(const model::MachineList& machines) override {
    generations.push_back(machines.generation);
  }
  void onSourceEvent(const SourceEvent& event) override { events.push_back(event.kind); }
  bool mayRead() const override { return may_read; }
  Version newestKnown() const override { return newest_known; }

  std::size_t count(SourceEventKind kind) const {
    return static_cast<std::size_t>(std::count(events.begin(), events.end(), kind));
  }

  std::vector<Version> versions;
  std::vector<Generation> generations;
  std::vector<SourceEventKind> events;
  Version newest_known;
  bool may_read = true;
};

struct Fixture {
  Fixture() {
    platform.publish(7, documentText(7, {"a"}));
    platform.setMachines(3, R"({"generation":3,"nodes":[],"backends":[]})");
  }

  VirtualTime time;
  VirtualEnvironment environment{time, 7};
  FakePlatform platform{time};
  FakePlatformClient client{platform, environment};
  RecordingSink sink;
  source::SourceReader reader{source::SourceSettings{}, environment, client, sink};
};

TEST_CASE_FIXTURE(Fixture, "only a node with the reader role reads the platform") {
  time.runFor(10s);
  CHECK(platform.reads() == 0);
  reader.setRole(true);
  time.runFor(100ms);
  CHECK(sink.versions == std::vector{Version(7)});
  CHECK(sink.generations == std::vector{Generation(3)});
  reader.setRole(false);
  const auto reads = platform.reads();
  time.runFor(10s);
  CHECK(platform.reads() == reads);
}

TEST_CASE_FIXTURE(Fixture, "an unchanged platform is read with conditional requests only") {
  reader.setRole(true);
  time.runFor(60s);
  CHECK(platform.document_reads == 1);
  CHECK(platform.newest_reads <= 81);
  CHECK(reader.statistics().not_modified >= 90);
  CHECK(sink.versions.size() == 1);
  CHECK(sink.generations.size() == 1);
}

TEST_CASE_FIXTURE(Fixture, "a new version is passed to the sink within the interval") {
  reader.setRole(true);
  time.runFor(5s);
  platform.publish(8, documentText(8, {"a", "b"}));
  time.runFor(1300ms);
  CHECK(sink.versions == std::vector{Version(7), Version(8)});
}

TEST_CASE_FIXTURE(
    Fixture,
    "a version that a peer already staged is still read once, to witness its publication") {
  sink.newest_known = Version(7);
  reader.setRole(true);
  time.runFor(5s);
  reader.setRole(false);
  time.runFor(1s);
  reader.setRole(true);
  time.runFor(5s);
  CHECK(platform.document_reads == 1);
  CHECK(reader.statistics().stale == 0);
}

TEST_CASE_FIXTURE(Fixture, "an outage slows down reads and is reported once, as is its end") {
  reader.setRole(true);
  time.runFor(5s);
  SUBCASE("refusing") { platform.mode = FakePlatform::Mode::kDown; }
  SUBCASE("silent") { platform.mode = FakePlatform::Mode::kSilent; }
  const auto versions_before = platform.newest_reads;
  const auto machines_before = platform.machine_reads;
  time.runFor(600s);
  CHECK(platform.newest_reads - versions_before < 75);
  CHECK(platform.machine_reads - machines_before < 650);  // At most the usual rate.
  CHECK(sink.count(SourceEventKind::kFailing) == 1);
  platform.mode = FakePlatform::Mode::kUp;
  platform.publish(9, documentText(9, {"a"}));
  CHECK(time.runUntilTrue([&] { return sink.versions.back() == Version(9); }, 36s));
  time.runFor(40s);
  CHECK(sink.count(SourceEventKind::kRecovered) == 1);
}

TEST_CASE_FIXTURE(Fixture,
                  "after an outage of any length the machine list is read within seconds") {
  reader.setRole(true);
  time.runFor(5s);
  SUBCASE("refusing") { platform.mode = FakePlatform::Mode::kDown; }
  SUBCASE("silent") { platform.mode = FakePlatform::Mode::kSilent; }
  time.runFor(600s);
  platform.mode = FakePlatform::Mode::kUp;
  platform.setMachines(4, R"({"generation":4,"nodes":[],"backends":[]})");
  time.runFor(4200ms);
  CHECK(sink.generations.back() == Generation(4));
}

TEST_CASE_FIXTURE(
    Fixture, "a single failing address does not cause alternating failing and recovered events") {
  reader.setRole(true);
  time.runFor(5s);
  platform.documents.erase(Version(7));
  platform.newest = Version(8);
  time.runFor(60s);
  CHECK(sink.count(SourceEventKind::kFailing) <= 2);
  CHECK(sink.versions.size() == 1);
}

TEST_CASE_FIXTURE(Fixture, "a stale platform is refused and counted") {
  reader.setRole(true);
  time.runFor(5s);
  platform.publish(5, documentText(5, {"old"}));
  platform.setMachines(2, R"({"generation":2,"nodes":[],"backends":[]})");
  time.runFor(20s);
  CHECK(sink.versions == std::vector{Version(7)});
  CHECK(sink.generations == std::vector{Generation(3)});
  CHECK(reader.statistics().stale > 10);
  CHECK(sink.count(SourceEventKind::kStale) == 1);
  platform.publish(8, documentText(8, {"new"}));
  time.runFor(3s);
  CHECK(sink.versions.back() == Version(8));
}

TEST_CASE_FIXTURE(Fixture, "a newer version known from a peer makes an older one stale") {
  sink.newest_known = Version(9);
  reader.setRole(true);
  time.runFor(5s);
  CHECK(sink.versions.empty());
  CHECK(reader.statistics().stale > 0);
}

TEST_CASE_FIXTURE(Fixture,
                  "malformed documents are refused as a whole, and a later version is accepted") {
  reader.setRole(true);
  time.runFor(5s);
  SUBCASE("invalid JSON") { platform.publish(8, "{\"version\": 8, \"routes\": ["); }
  SUBCASE("a route without its service") {
    platform.publish(
        8, R"({"version":8,"routes":[{"name":"r","service":"none"}],"services":[],"secrets":[]})");
  }
  SUBCASE("another version than requested") { platform.publish(8, documentText(9, {"a"})); }
  time.runFor(60s);
  CHECK(sink.versions == std::vector{Version(7)});
  CHECK(sink.count(SourceEventKind::kMalformed) == 1);
  CHECK(reader.statistics().malformed >= 2);
  CHECK(platform.document_reads < 20);
  platform.publish(10, documentText(10, {"a"}));
  time.runFor(31s);
  CHECK(sink.versions.back() == Version(10));
}

TEST_CASE_FIXTURE(Fixture, "malformed machine lists are refused as a whole") {
  reader.setRole(true);
  time.runFor(5s);
  platform.setMachines(4, R"({"generation":4,"nodes":[{"id":"n1"}],"backends":[]})");
  time.runFor(20s);
  CHECK(sink.generations == std::vector{Generation(3)});
  platform.setMachines(5, R"({"generation":5,"nodes":[],"backends":[]})");
  time.runFor(31s);
  CHECK(sink.generations.back() == Generation(5));
}

TEST_CASE_FIXTURE(Fixture, "the role is checked again before each read") {
  reader.setRole(true);
  time.runFor(5s);
  sink.may_read = false;
  const auto reads = platform.reads();
  time.runFor(10s);
  CHECK(platform.reads() == reads);
  CHECK(reader.statistics().skipped_role > 0);
}

TEST_CASE_FIXTURE(Fixture, "answers that arrive after a pause are ignored") {
  platform.latency = 500ms;
  reader.setRole(true);
  time.runFor(100ms);
  environment.pauseFor(30s);
  time.runFor(29s);
  reader.onPauseDetected();
  time.runFor(10s);
  CHECK(sink.versions.empty());
  CHECK(reader.statistics().late_answers >= 1);
  reader.setRole(true);
  time.runFor(3s);
  CHECK(sink.versions == std::vector{Version(7)});
}

TEST_CASE_FIXTURE(Fixture, "without peers the machine list is read with increasing delays") {
  bool needed = true;
  reader.startBootstrap(2s, [&] { return needed; });
  time.runFor(1999ms);
  CHECK(platform.reads() == 0);
  time.runFor(300s);
  CHECK(platform.machine_reads >= 2);
  CHECK(platform.machine_reads < 60);
  CHECK(sink.generations == std::vector{Generation(3)});
  needed = false;
  const auto reads = platform.reads();
  time.runFor(300s);
  CHECK(platform.reads() == reads);
}

TEST_CASE_FIXTURE(Fixture, "a node whose seeds answer does not read the platform") {
  bool needed = true;
  reader.startBootstrap(2s, [&] { return needed; });
  time.runFor(1s);
  needed = false;
  time.runFor(60s);
  CHECK(platform.reads() == 0);
}

struct FetchFixture : Fixture {
  FetchOutcome fetch(std::uint64_t version) {
    std::optional<FetchOutcome> outcome;
    reader.fetch(Version(version), [&](FetchOutcome result) { outcome = std::move(result); });
    REQUIRE(time.runUntilTrue([&] { return outcome.has_value(); }, 20s));
    return *outcome;
  }
};

TEST_CASE_FIXTURE(FetchFixture, "a fetch reads a named version, or the newest") {
  platform.documents[Version(4)] = documentText(4, {"four"});
  CHECK(fetch(4).mistakes.at(0).error.kind == ErrorKind::kUnavailable);
  reader.setRole(true);
  time.runFor(1s);
  CHECK(fetch(4).mistakes.empty());
  CHECK(sink.versions.back() == Version(4));
  const FetchOutcome newest = fetch(0);
  CHECK(newest.version == Version(7));
  CHECK(newest.mistakes.empty());
  CHECK(fetch(6).mistakes.at(0).error.kind == ErrorKind::kNotFound);
}

TEST_CASE_FIXTURE(FetchFixture, "a fetch returns every mistake of a document") {
  reader.setRole(true);
  time.runFor(1s);
  platform.publish(
      8,
      R"({"version":8,"routes":[{"name":"r","path_prefix":"/r","service":"none"},{"name":"s","path_prefix":"/s","service":"none"}],"services":[],"secrets":[]})");
  const FetchOutcome outcome = fetch(8);
  CHECK(outcome.mistakes.size() == 2);
  CHECK(outcome.mistakes.at(0).error.kind == ErrorKind::kMissingDependency);
}

TEST_CASE_FIXTURE(FetchFixture, "a fetch times out when the platform does not answer") {
  reader.setRole(true);
  time.runFor(1s);
  platform.mode = FakePlatform::Mode::kSilent;
  CHECK(fetch(0).mistakes.at(0).error.kind == ErrorKind::kTimeout);
}

}  // namespace
}  // namespace coursepond::testing
