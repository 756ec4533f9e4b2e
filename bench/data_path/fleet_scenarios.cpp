#include <utility>

#include "fleet_load.h"

namespace coursepond::data_path {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A kind of request that only servers send. It has no utility of its own.
KindShape calledKind(std::string name, std::string service, Duration work, Duration target,
                     Duration deadline) {
  return {.name = std::move(name),
          .service = std::move(service),
          .work = work,
          .spread = 0.5,
          .target = target,
          .deadline = deadline,
          .utility = 0,
          .late_utility = 0};
}

std::vector<Burst> twoBursts() {
  return {{seconds(5), seconds(4), 1.7}, {seconds(13), seconds(3), 1.5}};
}

/// Lookups with short latency targets, on servers of unequal speed that call each other.
FleetScenario lookups(std::string name) {
  FleetScenario fleet;
  fleet.name = std::move(name);
  fleet.services = {{"corridor", 37, 8, {0.6, 1.0, 1.4}},
                    {"booking", 27, 8, {0.5, 1.0, 1.0, 1.5}},
                    {"timetable", 31, 8, {0.6, 1.0, 1.4}}};
  const KindShape lookup{.name = "lookup",
                         .service = "corridor",
                         .per_second = 714,
                         .work = milliseconds(220),
                         .spread = 0.3,
                         .target = milliseconds(600),
                         .deadline = milliseconds(1200),
                         .rank = 2,
                         .calls = {{"slot-check", 1, 0.7}}};
  const KindShape booking{.name = "booking",
                          .service = "booking",
                          .per_second = 300,
                          .work = milliseconds(280),
                          .spread = 0.8,
                          .target = milliseconds(800),
                          .deadline = milliseconds(1500),
                          .utility = 2,
                          .late_utility = 0.6,
                          .is_repeatable = false,
                          .calls = {{"probe", 2, 0.7}}};
  const KindShape report{.name = "report",
                         .service = "timetable",
                         .per_second = 228,
                         .work = milliseconds(550),
                         .spread = 0.5,
                         .target = milliseconds(1500),
                         .deadline = milliseconds(3000),
                         .rank = 2};
  const KindShape query{.name = "query",
                        .service = "timetable",
                        .per_second = 257,
                        .work = milliseconds(88),
                        .spread = 0.8,
                        .target = milliseconds(250),
                        .deadline = milliseconds(1000),
                        .utility = 2,
                        .late_utility = 0.6};
  const KindShape slot_check =
      calledKind("slot-check", "booking", milliseconds(55), milliseconds(200), milliseconds(600));
  const KindShape probe =
      calledKind("probe", "timetable", milliseconds(55), milliseconds(200), milliseconds(600));
  fleet.kinds = {lookup, booking, report, query, slot_check, probe};
  return fleet;
}

/// Requests with long service times and generous latency targets: a slot is busy for about a
/// second.
FleetScenario downloads(std::string name) {
  FleetScenario fleet;
  fleet.name = std::move(name);
  fleet.services = {{"catalog", 38, 14, {0.6, 1.0, 1.4}},
                    {"licensing", 26, 14, {0.5, 1.0, 1.0, 1.5}},
                    {"typeserve", 31, 14, {0.6, 1.0, 1.4}}};
  const KindShape catalog{.name = "catalog",
                          .service = "catalog",
                          .per_second = 765,
                          .work = milliseconds(380),
                          .spread = 0.5,
                          .target = milliseconds(1000),
                          .deadline = milliseconds(3000),
                          .rank = 2,
                          .caller_retries = 2,
                          .calls = {{"seat-check", 1, 0.7}}};
  const KindShape grant{.name = "grant",
                        .service = "licensing",
                        .per_second = 285,
                        .work = milliseconds(500),
                        .spread = 0.5,
                        .target = milliseconds(1500),
                        .deadline = milliseconds(5000),
                        .utility = 2,
                        .late_utility = 0.6,
                        .is_repeatable = false,
                        .caller_retries = 2,
                        .calls = {{"metrics", 2, 0.7}}};
  const KindShape specimen{.name = "specimen",
                           .service = "typeserve",
                           .per_second = 255,
                           .work = milliseconds(960),
                           .spread = 0.5,
                           .target = milliseconds(2500),
                           .deadline = milliseconds(7500),
                           .rank = 2,
                           .caller_retries = 2};
  const KindShape subset{.name = "subset",
                         .service = "typeserve",
                         .per_second = 195,
                         .work = milliseconds(150),
                         .spread = 0.8,
                         .target = milliseconds(500),
                         .deadline = milliseconds(3000),
                         .utility = 2,
                         .late_utility = 0.6,
                         .caller_retries = 2};
  const KindShape seat_check = calledKind("seat-check", "licensing", milliseconds(96),
                                          milliseconds(400), milliseconds(1200));
  const KindShape metrics =
      calledKind("metrics", "typeserve", milliseconds(96), milliseconds(400), milliseconds(1200));
  fleet.kinds = {catalog, grant, specimen, subset, seat_check, metrics};
  return fleet;
}

/// Few servers, short latency targets, and two calls by most requests.
FleetScenario transfers(std::string name) {
  FleetScenario fleet;
  fleet.name = std::move(name);
  fleet.zones = 3;
  fleet.services = {{"balance", 6, 12, {0.5, 1.0, 1.0, 1.5}},
                    {"transfer", 4, 12, {0.5, 1.0, 1.0, 1.5}},
                    {"receipt", 3, 12, {0.7, 0.7, 1.6}}};
  const KindShape balance{.name = "balance",
                          .service = "balance",
                          .per_second = 334,
                          .work = milliseconds(120),
                          .spread = 0.8,
                          .target = milliseconds(400),
                          .deadline = milliseconds(1200),
                          .late_utility = 0.1,
                          .rank = 2,
                          .caller_retries = 2,
                          .calls = {{"quota", 2, 0.7}}};
  const KindShape transfer{.name = "transfer",
                           .service = "transfer",
                           .per_second = 114,
                           .work = milliseconds(160),
                           .spread = 0.3,
                           .target = milliseconds(500),
                           .deadline = milliseconds(1500),
                           .utility = 2,
                           .late_utility = 0.2,
                           .is_repeatable = false,
                           .caller_retries = 2,
                           .calls = {{"document", 1, 0.7}}};
  const KindShape upload{.name = "upload",
                         .service = "receipt",
                         .per_second = 35,
                         .work = milliseconds(140),
                         .spread = 0.3,
                         .target = milliseconds(500),
                         .deadline = milliseconds(3000),
                         .utility = 2,
                         .late_utility = 0.2,
                         .caller_retries = 2};
  const KindShape quota =
      calledKind("quota", "transfer", milliseconds(30), milliseconds(120), milliseconds(400));
  const KindShape document =
      calledKind("document", "receipt", milliseconds(30), milliseconds(120), milliseconds(400));
  fleet.kinds = {balance, transfer, upload, quota, document};
  return fleet;
}

/// Grants that make one call and reads that make two in parallel, on servers with few slots. A cold
/// server can sustain about a fifth of its usual load, or three fifths for a single second.
FleetScenario grants(std::string name) {
  FleetScenario fleet;
  fleet.name = std::move(name);
  fleet.zones = 4;
  fleet.services = {{"catalog", 22, 6, {0.6, 1.0, 1.4}},
                    {"licensing", 34, 6, {0.7, 0.7, 1.6}},
                    {"typeserve", 24, 6, {0.5, 1.0, 1.0, 1.5}}};
  fleet.cold = {seconds(3), 2, 5.6, 16, seconds(1)};
  const KindShape read{.name = "read",
                       .service = "catalog",
                       .per_second = 300,
                       .work = milliseconds(220),
                       .spread = 0.8,
                       .target = milliseconds(600),
                       .deadline = milliseconds(2000),
                       .rank = 2,
                       .caller_retries = 2,
                       .calls = {{"seat-check", 2, 0.7}}};
  const KindShape grant{.name = "grant",
                        .service = "licensing",
                        .per_second = 330,
                        .work = milliseconds(290),
                        .spread = 0.3,
                        .target = milliseconds(1000),
                        .deadline = milliseconds(3000),
                        .utility = 2,
                        .late_utility = 0.6,
                        .is_repeatable = false,
                        .caller_retries = 2,
                        .calls = {{"metrics", 1, 0.7}}};
  const KindShape specimen{.name = "specimen",
                           .service = "typeserve",
                           .per_second = 97,
                           .work = milliseconds(550),
                           .spread = 0.8,
                           .target = milliseconds(1500),
                           .deadline = milliseconds(5000),
                           .rank = 2,
                           .caller_retries = 2};
  const KindShape subset{.name = "subset",
                         .service = "typeserve",
                         .per_second = 224,
                         .work = milliseconds(88),
                         .spread = 0.8,
                         .target = milliseconds(300),
                         .deadline = milliseconds(1200),
                         .utility = 2,
                         .late_utility = 0.6,
                         .caller_retries = 2};
  const KindShape seat_check =
      calledKind("seat-check", "licensing", milliseconds(55), milliseconds(200), milliseconds(600));
  const KindShape metrics =
      calledKind("metrics", "typeserve", milliseconds(55), milliseconds(200), milliseconds(600));
  fleet.kinds = {read, grant, specimen, subset, seat_check, metrics};
  return fleet;
}

}  // namespace

std::vector<FleetScenario> fleetScenarios() {
  std::vector<FleetScenario> scenarios;
  scenarios.push_back(lookups("lookups, usual load"));

  scenarios.push_back(lookups("lookups, two bursts"));
  scenarios.back().load = 1.1;
  scenarios.back().bursts = twoBursts();

  scenarios.push_back(lookups("lookups, a quarter of the servers gone"));
  scenarios.back().leaving_fraction = 0.25;
  scenarios.back().bursts = {{seconds(9), seconds(4), 1.3}};

  scenarios.push_back(downloads("downloads, usual load"));

  scenarios.push_back(downloads("downloads, a long burst"));
  scenarios.back().bursts = {{seconds(5), seconds(9), 1.6}};

  scenarios.push_back(downloads("downloads, a quarter of a service's servers reject half"));
  scenarios.back().load = 0.9;
  scenarios.back().rejecting = {"typeserve", 0.25, 0.5, seconds(4), seconds(12)};

  scenarios.push_back(grants("grants, usual load"));

  scenarios.push_back(grants("grants, all servers lose power"));
  scenarios.back().power_loss = seconds(6);

  scenarios.push_back(grants("grants, all servers of the called service reject half"));
  scenarios.back().rejecting = {"licensing", 1, 0.5, seconds(4), seconds(8)};

  scenarios.push_back(transfers("transfers, usual load"));

  scenarios.push_back(transfers("transfers, two bursts"));
  scenarios.back().bursts = twoBursts();
  return scenarios;
}

}  // namespace coursepond::data_path
