// Measures the CPU time of the decision module by the number of caches: for a read from its arrival to its
// response, in a steady state and while keys move between caches; and for an endpoint list with many changes.
// Times are CPU time of this thread; each figure is the median of its rounds.
#include <algorithm>
#include <cstdio>
#include <cxxopts.hpp>
#include <exception>
#include <vector>

#include "cpu_timing.h"
#include "fernward/balancer.h"

namespace {

using namespace fernward;
using namespace fernward::bench;

Settings make_settings(bool resize) {
  Settings settings;
  settings.router_count = 4;
  settings.classes = {{.latency_objective_ms = 500,
                       .client_timeout_ms = 1000,
                       .idempotency = Idempotency::Idempotent,
                       .idempotency_scope = IdempotencyScope::All}};
  settings.origin_kind = 1;
  settings.max_attempts = 4;
  settings.may_hedge = settings.may_cancel = true;
  settings.load_report_source = LoadReportSource::Responses;
  settings.load_report_fields = {LoadReportField::Queue, LoadReportField::LatencyMs};
  if (resize) settings.resize = {30000, 2, 0};
  return settings;
}

std::vector<Server> make_endpoints(std::uint32_t cache_count) {
  std::vector<Server> endpoints{{.id = 1000000, .kind = 1}};
  for (std::uint32_t i = 1; i <= cache_count; ++i) endpoints.push_back({.id = i});
  return endpoints;
}

// The decision module of one router in virtual time, with the responses that it gets from its servers.
class BenchedRouter {
 public:
  explicit BenchedRouter(bool resize) : balancer_(make_settings(resize), 7) {}

  double apply_endpoint_list(std::uint32_t cache_count) { // returns CPU time in us
    const EndpointList list{EndpointListKind::Full, make_endpoints(cache_count)};
    const double started_us = thread_cpu_us();
    actions_.clear();
    balancer_.on_event(now_ms_, list, actions_);
    return thread_cpu_us() - started_us;
  }
  // Handles reads one after another; about a tenth miss in every cache. Returns the CPU time in us per read.
  double run_reads(std::size_t count, std::uint64_t key_count) {
    const double started_us = thread_cpu_us();
    for (std::size_t i = 0; i < count; ++i) {
      now_ms_ += 1;
      const std::uint64_t draw =
          (random_state_ = random_state_ * 6364136223846793005ull + 1442695040888963407ull) >> 33;
      Request request;
      request.id = ++last_request_id_;
      request.key = 1 + draw % (1 + draw % key_count);
      request.deadline = now_ms_ + 1000;
      handle_event(request);
      for (int step = 0; step < 6 && next_server_ != 0; ++step) { // until the request ends
        const ServerId server = next_server_;
        const bool miss = server != 1000000 && draw % 10 == 0;
        AttemptOutcome outcome{request.id,
                               attempt_number_++,
                               server,
                               miss ? AttemptResult::CacheMiss : AttemptResult::Ok,
                               10.0 + static_cast<double>(draw % 7),
                               !miss,
                               {}};
        outcome.load_report = {static_cast<float>(draw % 5), 10};
        next_server_ = 0;
        handle_event(outcome);
      }
      attempt_number_ = 0;
      if (i % 100 == 99) handle_event(TimerFired{0}); // the periodic tick
    }
    return (thread_cpu_us() - started_us) / static_cast<double>(count);
  }
  void advance_time(double ms) { now_ms_ += ms; }

 private:
  void handle_event(const Event& event) {
    actions_.clear();
    balancer_.on_event(now_ms_, event, actions_);
    for (const Action& action : actions_) {
      if (const auto* send = std::get_if<Send>(&action)) next_server_ = send->server;
    }
  }
  Balancer balancer_;
  std::vector<Action> actions_;
  double now_ms_ = 1e9;
  RequestId last_request_id_ = 0;
  std::uint64_t random_state_ = 1;
  ServerId next_server_ = 0;
  std::uint32_t attempt_number_ = 0;
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
    if (rounds < 1 || reads < 1) throw std::invalid_argument("--rounds and --reads must be 1 or more");
    std::printf(
        "CPU time in us: a read without resizing | with it, steady | with it, a third of the nodes new || "
        "the first complete list | one grown by half\n");
    for (const std::uint32_t nodes : {14u, 200u, 1000u}) {
      std::vector<double> resize_off_us, settled_us, moving_us, first_list_us, grown_list_us;
      for (int round = 0; round < rounds; ++round) {
        BenchedRouter router_without_resize(false), router_with_resize(true);
        router_without_resize.apply_endpoint_list(nodes), router_without_resize.run_reads(2000, 20000);
        resize_off_us.push_back(router_without_resize.run_reads(reads, 20000));
        first_list_us.push_back(router_with_resize.apply_endpoint_list(nodes * 2 / 3));
        router_with_resize.run_reads(20000, 20000), router_with_resize.advance_time(60000);
        settled_us.push_back(router_with_resize.run_reads(reads, 20000));
        grown_list_us.push_back(router_with_resize.apply_endpoint_list(nodes));
        moving_us.push_back(router_with_resize.run_reads(
            std::min<std::size_t>(reads, 14000),
            20000)); // at one read per ms this takes less than half of the resize interval
      }
      std::printf("%5u nodes  %6.2f | %6.2f | %6.2f || %8.0f | %8.0f\n", nodes, median(resize_off_us),
                  median(settled_us), median(moving_us), median(first_list_us), median(grown_list_us));
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
