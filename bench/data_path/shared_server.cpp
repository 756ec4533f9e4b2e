#include "shared_server.h"

#include <cmath>

namespace coursepond::data_path {
namespace {

constexpr Duration kReportLag = std::chrono::seconds(1);
constexpr int kOk = 200;
constexpr int kServiceUnavailable = 503;

}  // namespace

SharedServer::SharedServer(simulation::VirtualTime& time, std::uint64_t seed)
    : time_(time), random_(seed) {}

SharedServer::Cancel SharedServer::run(Reply reply) {
  auto work = std::make_shared<Work>();
  if (busy_ + shape_.taken_slots >= shape_.slots) {
    ++refused_;
    ServerReply refusal;
    refusal.head.status = kServiceUnavailable;
    refusal.head.not_run = true;
    refusal.head.load = reportedLoad();
    time_.schedule(Duration(0), [work, refusal, reply = std::move(reply)] {
      if (work->open) reply(refusal);
    });
    return [work] { work->open = false; };
  }
  ++busy_;
  time_.schedule(serviceTime(), [this, work, reply = std::move(reply)] { finish(work, reply); });
  return [this, work] {
    if (!work->open) return;
    work->open = false;
    --busy_;
  };
}

void SharedServer::finish(const std::shared_ptr<Work>& work, const Reply& reply) {
  if (!work->open) return;
  work->open = false;
  ++ran_;
  ServerReply answer;
  answer.lost = random_.chance(shape_.lost_answers);
  answer.head.status = kOk;
  answer.head.load = reportedLoad();
  --busy_;
  reply(answer);
}

Duration SharedServer::serviceTime() {
  const double fraction = random_.positiveFraction();
  const double beyond = -std::log(fraction) * static_cast<double>(shape_.mean_extra_time.count());
  const double whole = static_cast<double>(shape_.min_service_time.count()) + beyond;
  return Duration(static_cast<Duration::rep>(whole * shape_.slowness));
}

double SharedServer::reportedLoad() {
  const double load = static_cast<double>(busy_ + shape_.taken_slots) / shape_.slots;
  switch (shape_.report) {
    case ReportKind::kHonest:
      return load;
    case ReportKind::kAlwaysIdle:
      return 0;
    case ReportKind::kAlwaysFull:
      return 1;
    case ReportKind::kLagging:
      break;
  }
  const double reported = lagging_load_;
  if (time_.now() - lagging_since_ >= kReportLag) {
    lagging_load_ = load;
    lagging_since_ = time_.now();
  }
  return reported;
}

}  // namespace coursepond::data_path
