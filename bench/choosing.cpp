// Measures the CPU time of the decision module by the number of caches: for a read from its arrival to its
// response, in a steady state and while keys move between caches; and for an endpoint list with many changes.
// Times are CPU time of this thread; each figure is the median of its rounds.
#include <algorithm>
#include <cstdio>
#include <cxxopts.hpp>
#include <exception>
#include <vector>

#include "fernward/balancer.h"
#include "timing.h"

namespace {

using namespace fernward;
using namespace fernward::bench;

Settings settings(bool resize) {
  Settings s;
  s.router_count = 4;
  s.classes = {{.latency_objective_ms = 500,
                .client_timeout_ms = 1000,
                .idempotency = Idempotency::Idempotent,
                .idempotency_scope = IdempotencyScope::All}};
  s.origin_kind = 1;
  s.max_attempts = 4;
  s.may_hedge = s.may_cancel = true;
  s.load_report_source = LoadReportSource::Responses;
  s.load_report_fields = {LoadReportField::Queue, LoadReportField::LatencyMs};
  if (resize) s.resize = {30000, 2, 0};
  return s;
}

std::vector<Server> fleet(std::uint32_t caches) {
  std::vector<Server> all{{.id = 1000000, .kind = 1}};
  for (std::uint32_t i = 1; i <= caches; ++i) all.push_back({.id = i});
  return all;
}

class Router {
 public:
  explicit Router(bool resize) : balancer_(settings(resize), 7) {}

  double list(std::uint32_t caches) { // returns CPU time in us
    const EndpointList list{EndpointListKind::Full, fleet(caches)};
    const double before = cpu_us();
    actions_.clear();
    balancer_.on_event(now_, list, actions_);
    return cpu_us() - before;
  }
  // Handles reads one after another; about a tenth miss in every cache. Returns the CPU time in us per read.
  double read(std::size_t count, std::uint64_t keys) {
    const double before = cpu_us();
    for (std::size_t i = 0; i < count; ++i) {
      now_ += 1;
      const std::uint64_t draw = (random_ = random_ * 6364136223846793005ull + 1442695040888963407ull) >> 33;
      Request r;
      r.id = ++id_;
      r.key = 1 + draw % (1 + draw % keys);
      r.deadline = now_ + 1000;
      on(r);
      for (int step = 0; step < 6 && server_ != 0; ++step) { // until the request ends
        const ServerId at = server_;
        const bool miss = at != 1000000 && draw % 10 == 0;
        AttemptOutcome e{r.id,
                         attempt_++,
                         at,
                         miss ? AttemptResult::CacheMiss : AttemptResult::Ok,
                         10.0 + static_cast<double>(draw % 7),
                         !miss,
                         {}};
        e.load_report = {static_cast<float>(draw % 5), 10};
        server_ = 0;
        on(e);
      }
      attempt_ = 0;
      if (i % 100 == 99) on(TimerFired{0}); // the periodic tick
    }
    return (cpu_us() - before) / static_cast<double>(count);
  }
  void wait(double ms) { now_ += ms; }

 private:
  void on(const Event& event) {
    actions_.clear();
    balancer_.on_event(now_, event, actions_);
    for (const Action& a : actions_) {
      if (const auto* send = std::get_if<Send>(&a)) server_ = send->server;
    }
  }
  Balancer balancer_;
  std::vector<Action> actions_;
  double now_ = 1e9;
  RequestId id_ = 0;
  std::uint64_t random_ = 1;
  ServerId server_ = 0;
  std::uint32_t attempt_ = 0;
};

} // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("fernward-choosing", "CPU time of the decision module by the size of the fleet");
  options.add_options()("rounds", "repetitions of each measurement",
                        cxxopts::value<int>()->default_value("9"))(
      "reads", "reads per round", cxxopts::value<std::size_t>()->default_value("20000"))("h,help",
                                                                                         "Print this help");
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) return std::printf("%s\n", options.help().c_str()), 0;
    const int rounds = parsed["rounds"].as<int>();
    const auto reads = parsed["reads"].as<std::size_t>();
    if (rounds < 1 || reads < 1) throw std::invalid_argument("rounds and reads must be 1 or more");
    std::printf(
        "us of CPU: a read, off | on, settled | on, a third of the nodes new || the whole list, first | "
        "grown by half\n");
    for (const std::uint32_t nodes : {14u, 200u, 1000u}) {
      std::vector<double> off, settled, moving, first, grown;
      for (int round = 0; round < rounds; ++round) {
        Router a(false), b(true);
        a.list(nodes), a.read(2000, 20000);
        off.push_back(a.read(reads, 20000));
        first.push_back(b.list(nodes * 2 / 3));
        b.read(20000, 20000), b.wait(60000);
        settled.push_back(b.read(reads, 20000));
        grown.push_back(b.list(nodes));
        moving.push_back(
            b.read(std::min<std::size_t>(reads, 14000),
                   20000)); // at one read per ms this takes less than half of the resize interval
      }
      std::printf("%5u nodes  %6.2f | %6.2f | %6.2f || %8.0f | %8.0f\n", nodes, median(off), median(settled),
                  median(moving), median(first), median(grown));
    }
    return 0;
  } catch (const cxxopts::exceptions::exception& e) {
    std::fprintf(stderr, "fernward-choosing: %s\n", e.what());
    return 2;
  } catch (const std::exception& e) {
    std::fprintf(stderr, "fernward-choosing: %s\n", e.what());
    return 1;
  }
}
