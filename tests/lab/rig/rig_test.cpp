// Short runs on sockets, checked by counts and never by times, since the test machine may be busy.
#include "lab/rig/rig.h"

#include <doctest/doctest.h>
#include <signal.h>
#include <sys/wait.h>

#include <filesystem>
#include <fstream>
#include <map>
#include <set>

#include "lab/rig/trial_fleet.h"
#include "lab/virtual/virtual_driver.h"
#include "support.h"

using namespace fernward;
using namespace fernward::tests;
using model::RouterEvent;
using model::TryOutcome;

namespace {

// Tracks each try and each attempt to its end.
struct RecordTracker : rig::CountingSink {
  using rig::CountingSink::on;
  void on(const model::DrawnRequest& d) override {
    CountingSink::on(d);
    drawn_requests[d.request] = d;
  }
  void on(const model::TrySent& t) override {
    CountingSink::on(t);
    new_connections += t.new_connection ? 1 : 0;
    if (t.accepted) unanswered_tries.insert(t.try_id);
    const auto [sent_try, is_first_record] = sent_tries.emplace(t.try_id, t.accepted);
    // A router that ends with an unread request on a kept connection loses it. The client sends it again on a
    // new connection, and if that is refused, one more record corrects the first: not accepted after all.
    if (!is_first_record && sent_try->second && !t.accepted) ++corrections;
    sent_try->second = t.accepted;
  }
  void on(const model::TryEnded& a) override {
    CountingSink::on(a);
    if (a.surplus) return;
    ++answer_counts[a.try_id];
    if (a.outcome == TryOutcome::Served || a.outcome == TryOutcome::Rejected ||
        a.outcome == TryOutcome::Failed)
      unanswered_tries.erase(a.try_id);
    ++outcome_counts[static_cast<std::size_t>(a.outcome)];
  }
  void on(const model::RequestEnded& c) override {
    CountingSink::on(c);
    ++close_counts[c.request];
  }
  void on(const model::AttemptArrived& a) override {
    CountingSink::on(a);
    open_attempts.insert(a.attempt);
    if (a.write) ++write_counts[a.try_id];
    arrivals.push_back(a);
  }
  void on(const model::AttemptEnded& e) override {
    CountingSink::on(e);
    CHECK(open_attempts.erase(e.attempt) == 1);
  }
  void on(const model::RouterLogLine& l) override { log_text += std::string(l.text) + "\n"; }

  int event_count(RouterEvent::What what) const {
    return static_cast<int>(std::count_if(router_events.begin(), router_events.end(),
                                          [&](const auto& e) { return e.what == what; }));
  }
  void check_consistent() const { // the rig's own records are consistent, whatever the routers do
    CHECK(drawn > 0);
    CHECK(requests_ended == drawn);
    CHECK(std::all_of(close_counts.begin(), close_counts.end(), [](const auto& e) { return e.second == 1; }));
    CHECK(sent_tries.size() + corrections == tried);
    CHECK(answer_counts.size() == sent_tries.size());
    CHECK(
        std::all_of(answer_counts.begin(), answer_counts.end(), [](const auto& a) { return a.second == 1; }));
    CHECK(attempts_ended == arrived);
    CHECK(open_attempts.empty());
  }

  std::map<model::RequestNumber, model::DrawnRequest> drawn_requests;
  std::map<model::RequestNumber, int> close_counts;
  std::map<model::TryId, bool> sent_tries; // whether the router's machine accepted the try
  std::size_t corrections = 0;             // further records of a try, from accepted to not accepted
  std::map<model::TryId, int> answer_counts, write_counts;
  std::set<model::TryId> unanswered_tries;
  std::set<model::AttemptId> open_attempts;
  std::vector<model::AttemptArrived> arrivals;
  std::size_t outcome_counts[7] = {}, new_connections = 0;
  std::string log_text;
};

lab::RigOptions options(const std::string& fault = "") {
  lab::RigOptions rig_options;
  rig_options.program = FERNWARD_PROGRAM;
  rig_options.max_late_p99_ms = rig_options.max_late_p999_ms = 1e9; // the test machine may be busy
  rig_options.enforce_memory_limit = false;                         // sanitizers use memory of their own
  if (!fault.empty()) rig_options.programs_by_router.assign(2, {{FERNWARD_BAD_ROUTER, fault}, false});
  return rig_options;
}

model::Spec trial_spec_of(double seconds, double rate, const std::string& event = "") {
  rig::TrialFleet fleet;
  fleet.seconds = seconds;
  fleet.rate_per_s = rate;
  fleet.work_ms = 5;
  model::Spec spec = rig::trial_spec(fleet);
  rig::add_event(spec, event);
  return spec;
}

lab::RunInfo run_on_sockets(const model::Spec& spec, RecordTracker& tracker,
                            const lab::RigOptions& rig_options) {
  return lab::make_rig_driver(rig_options)->run(spec, tracker);
}

// Counts the run directories left in `directory` and the processes whose configuration is in one of them.
std::size_t leftover_count(const std::string& directory) {
  std::size_t count = 0;
  for ([[maybe_unused]] const auto& entry : std::filesystem::directory_iterator(directory)) ++count;
  std::error_code error;
  for (const auto& process : std::filesystem::directory_iterator("/proc", error)) {
    std::ifstream file(process.path() / "environ");
    const std::string text{std::istreambuf_iterator<char>(file), {}};
    if (text.find("NODE_CONFIG=" + directory) != std::string::npos) ++count;
  }
  return count;
}

} // namespace

TEST_CASE("in a run without faults every request ends exactly once at client and router and server") {
  RecordTracker tracker;
  const auto info = run_on_sockets(trial_spec_of(3, 150), tracker, options());
  CAPTURE(tracker.log_text);
  CHECK(info.void_reasons.empty());
  tracker.check_consistent();
  CHECK(tracker.unanswered_tries.empty());
  CHECK(tracker.surplus == 0);
  CHECK(tracker.not_genuine == 0);
  CHECK(tracker.requests_by_outcome[static_cast<std::size_t>(TryOutcome::Served)] > tracker.drawn * 9 / 10);
  CHECK(tracker.origin_attempts > 0);
  CHECK(tracker.hits > tracker.origin_attempts);
  CHECK(tracker.event_count(RouterEvent::What::Ready) == 2);
  REQUIRE(info.routers.size() == 2);
  for (const auto& router : info.routers) {
    CHECK(router.cpu_s > 0);
    CHECK(router.peak_memory_mb > 0);
    CHECK(router.peak_sockets > 5);
  }
}

TEST_CASE("router and node and discovery events are recorded and no request record is lost") {
  using What = RouterEvent::What;
  const struct {
    const char* event;
    int killed, ended, reloaded, crashed, ready;
  } cases[] = {{"kill-router", 1, 0, 0, 0, 3}, {"term-router", 0, 1, 0, 0, 3}, {"move", 0, 0, 2, 0, 2},
               {"replace", 0, 0, 0, 0, 2},     {"cut", 0, 0, 0, 0, 2},         {"lost-zone", 0, 0, 0, 0, 2}};
  for (const auto& c : cases) {
    const std::string event = c.event;
    CAPTURE(event);
    RecordTracker tracker;
    const auto info = run_on_sockets(trial_spec_of(4, 80, c.event), tracker, options());
    CHECK(info.void_reasons.empty());
    tracker.check_consistent();
    CHECK(tracker.surplus == 0);
    CHECK(tracker.event_count(What::Killed) == c.killed);
    CHECK(tracker.event_count(What::Ended) == c.ended);
    CHECK(tracker.event_count(What::Reloaded) == c.reloaded);
    CHECK(tracker.event_count(What::Crashed) == c.crashed);
    CHECK(tracker.event_count(What::Ready) == c.ready);
    if (std::string(c.event) == "term-router") CHECK(tracker.unanswered_tries.empty());
    if (std::string(c.event) == "move")
      CHECK(tracker.log_text.find("discovery-connected") != std::string::npos);
  }
}

TEST_CASE("the fault of each bad router is visible in the records") {
  const struct {
    const char* fault;
    std::function<bool(const RecordTracker&, const lab::RunInfo&)> matches;
  } cases[] = {
      {"honest", [](const RecordTracker& l,
                    const auto& i) { return l.unanswered_tries.empty() && l.surplus == 0 && !i.is_void; }},
      {"hasty",
       [](const RecordTracker& l, const auto& i) {
         return l.unanswered_tries.empty() &&
                l.outcome_counts[static_cast<std::size_t>(TryOutcome::ConnectionLost)] == 0 && !i.is_void;
       }},
      {"twice", [](const RecordTracker& l, const auto&) { return l.surplus > l.drawn / 6; }},
      {"lose",
       [](const RecordTracker& l, const auto&) {
         return l.outcome_counts[static_cast<std::size_t>(TryOutcome::ConnectionLost)] > 20;
       }},
      {"silent",
       [](const RecordTracker& l, const auto&) {
         return l.outcome_counts[static_cast<std::size_t>(TryOutcome::TimedOut)] > 20;
       }},
      {"forge", [](const RecordTracker& l, const auto&) { return l.not_genuine > 20; }},
      {"swap", [](const RecordTracker& l, const auto&) { return l.not_genuine + l.surplus > 20; }},
      {"alter", [](const RecordTracker&, const auto& i) { return i.is_void; }},
      {"repeat",
       [](const RecordTracker& l, const auto&) {
         return std::any_of(l.write_counts.begin(), l.write_counts.end(),
                            [](const auto& w) { return w.second > 1; });
       }},
      {"shout", [](const RecordTracker&, const auto& i) { return i.is_void; }},
      {"crash",
       [](const RecordTracker& l, const auto&) { return l.event_count(RouterEvent::What::Crashed) == 2; }},
  };
  for (const auto& c : cases) {
    const std::string fault = c.fault;
    CAPTURE(fault);
    RecordTracker tracker;
    const auto info = run_on_sockets(trial_spec_of(2, 100), tracker, options(c.fault));
    CAPTURE(tracker.log_text);
    tracker.check_consistent();
    CHECK(c.matches(tracker, info));
  }
}

TEST_CASE("client settings for connections and disconnects and retries take effect") {
  const struct {
    const char* behavior;
    std::function<void(model::Spec&)> change;
    std::function<bool(const RecordTracker&, const lab::RunInfo&)> matches;
  } cases[] = {
      {"kept", [](model::Spec&) {},
       [](const RecordTracker& l, const auto&) { return l.new_connections < l.tried / 2; }},
      {"new for each request", [](model::Spec& s) { s.clients.keep_connections = false; },
       [](const RecordTracker& l, const auto&) {
         return l.new_connections == l.tried && l.unanswered_tries.empty();
       }},
      {"resting", [](model::Spec& s) { s.clients.idle_connections = 40; },
       [](const RecordTracker&, const auto& i) { return i.routers[0].peak_sockets > 40; }},
      {"leaving", [](model::Spec& s) { s.clients.abandon_share = 1; },
       [](const RecordTracker& l, const auto&) {
         return l.outcome_counts[static_cast<std::size_t>(TryOutcome::Abandoned)] > 0;
       }},
      {"retrying after rejection",
       [](model::Spec& s) {
         s.clients.mean_max_retries = 3;
         s.clients.heed_retry_after_share = 0;
         s.clients.backoff_ms = 50;
         s.routers.max_open_requests = 1; // most requests are rejected
       },
       [](const RecordTracker& l, const auto&) { return l.tried > l.drawn && l.unanswered_tries.empty(); }},
  };
  for (const auto& c : cases) {
    const std::string behavior = c.behavior;
    CAPTURE(behavior);
    model::Spec spec = trial_spec_of(1.5, 100);
    c.change(spec);
    RecordTracker tracker;
    const auto info = run_on_sockets(spec, tracker, options());
    CHECK(info.void_reasons.empty());
    tracker.check_consistent();
    CHECK(tracker.surplus == 0);
    CHECK(c.matches(tracker, info));
  }
}

TEST_CASE("attempts that a router sends to draining nodes are recorded") {
  model::Spec spec = trial_spec_of(5, 100);
  model::NodeSelector half;
  half.share = 0.5;
  spec.events.push_back({500, "", model::DrainNodes{half, 4000, 0}});
  spec.discovery.leave_delay_min_ms = spec.discovery.leave_delay_max_ms = 500;
  RecordTracker tracker;
  run_on_sockets(spec, tracker, options("drained"));
  const auto sent_after_notice = [&](const model::AttemptArrived& a) {
    return std::any_of(tracker.notifications.begin(), tracker.notifications.end(),
                       [&](const model::EndpointNotified& t) {
                         return t.router == a.router && t.machine == a.machine &&
                                t.state != ServerState::Ready && a.sent_at > t.at + 250;
                       });
  };
  CHECK(std::count_if(tracker.arrivals.begin(), tracker.arrivals.end(), sent_after_notice) > 10);
}

TEST_CASE("a cold node overloaded by routers notified of its start fails and the share is recorded") {
  model::Spec spec = trial_spec_of(6, 150, "");
  spec.classes[0].work.mean = 100;
  spec.kinds[0].warm_up_ms = 5000;
  spec.kinds[0].overload_failure_ms = 500;
  model::NodeSelector one;
  one.count = 1;
  spec.events.push_back({500, "", model::StartNodes{one}});
  RecordTracker tracker;
  run_on_sockets(spec, tracker, options("flood"));
  const auto overload =
      std::find_if(tracker.node_events.begin(), tracker.node_events.end(),
                   [](const model::NodeEvent& e) { return e.what == model::NodeEvent::What::Overloaded; });
  REQUIRE(overload != tracker.node_events.end());
  CHECK(overload->cold);
  CHECK(overload->notified_share > 2.0 / 3);
}

TEST_CASE("a router that ignores SIGTERM is killed and one that cannot start ends the run with its error") {
  RecordTracker tracker;
  model::Spec spec = trial_spec_of(6, 50);
  model::RouterSelector first;
  first.routers = {0};
  spec.events.push_back({500, "", model::RestartRouters{first, model::RouterEnd::Term, 200, 0, 0}});
  const auto info = run_on_sockets(spec, tracker, options("hang"));
  tracker.check_consistent();
  CHECK(tracker.log_text.find("has not ended after SIGTERM") != std::string::npos);
  CHECK(tracker.event_count(RouterEvent::What::Term) == 1);
  CHECK(tracker.event_count(RouterEvent::What::Killed) >= 1); // at the end of the run both routers are killed
  CHECK(tracker.event_count(RouterEvent::What::Started) == 3);
  CHECK(info.wall_s < 30);
  lab::RigOptions missing_program = options();
  missing_program.program = "/nowhere/fernward";
  CHECK_THROWS_WITH_AS(run_on_sockets(trial_spec_of(1, 50), tracker, missing_program),
                       doctest::Contains("/nowhere/fernward"), std::runtime_error);
}

TEST_CASE("a late run is void with a reason and a run stops on request") {
  RecordTracker tracker;
  lab::RigOptions strict = options();
  strict.max_late_p99_ms = 0; // every run exceeds this
  const auto info = run_on_sockets(trial_spec_of(1, 50), tracker, strict);
  CHECK(info.is_void);
  REQUIRE_FALSE(info.void_reasons.empty());
  CHECK(info.void_reasons[0].find("late") != std::string::npos);

  std::stop_source stop;
  lab::RunControl control;
  control.stop = stop.get_token();
  control.progress = [&](double now) {
    if (now > 300) stop.request_stop();
  };
  const auto stopped = lab::make_rig_driver(options())->run(trial_spec_of(600, 50), tracker, control);
  CHECK(stopped.stopped);
  CHECK(stopped.scenario_elapsed_ms < 60000);
}

TEST_CASE("no process or directory is left after the lab gets SIGKILL or SIGINT or SIGTERM") {
  for (const int signal_number : {SIGKILL, SIGINT, SIGTERM}) {
    CAPTURE(signal_number);
    char name[] = "/tmp/fernward-test-XXXXXX";
    const std::string directory = mkdtemp(name);
    const pid_t lab = fork();
    if (lab == 0) {
      setenv("TMPDIR", directory.c_str(), 1);
      execl(FERNWARD_RIG, FERNWARD_RIG, "--program", FERNWARD_PROGRAM, "--seconds", "600", "--rate", "50",
            nullptr);
      _exit(127);
    }
    // One run directory and two routers.
    REQUIRE(wait_until([&] { return leftover_count(directory) >= 3; }));
    usleep(300000);
    kill(lab, signal_number);
    int status = 0;
    waitpid(lab, &status, 0);
    CHECK(wait_until([&] { return leftover_count(directory) == 0; }, signal_number == SIGKILL ? 5000 : 100));
    std::filesystem::remove_all(directory);
  }
}

TEST_CASE("sharing routers with one of them paused behave on sockets as in virtual time") {
  model::Spec spec = trial_spec_of(5, 100);
  spec.routers.sharing.enabled = true;
  spec.routers.sharing.ping_period_ms = 100;
  model::RouterSelector second;
  second.routers = {1};
  spec.events = {
      {1500, "", model::PauseRouters{second, 2500}},
      {2500, "", model::PartitionRouters{{}, second, false, model::PartitionedTraffic::Datagrams, 0}}};
  std::get<model::PartitionRouters>(spec.events[1].what).a.routers = {0};
  RecordTracker sockets, virtual_time;
  const auto info = run_on_sockets(spec, sockets, options());
  const auto virtual_info = lab::make_virtual_driver()->run(spec, virtual_time);
  CAPTURE(sockets.log_text);
  sockets.check_consistent();
  CHECK(info.void_reasons.empty());
  CHECK(sockets.log_text.find("fleet living=") != std::string::npos);
  for (const RecordTracker* tracker : {&sockets, &virtual_time}) {
    CHECK(tracker->event_count(RouterEvent::What::Paused) == 1);
    CHECK(tracker->event_count(RouterEvent::What::Resumed) == 1);
    // A paused router does not respond, so the bound allows for its requests.
    CHECK(tracker->requests_by_outcome[static_cast<std::size_t>(TryOutcome::Served)] >
          tracker->drawn * 8 / 10);
  }
  REQUIRE(info.routers.size() == 2);
  // The size of datagrams does not depend on timing, and their number hardly does.
  for (std::size_t r = 0; r < 2; ++r) {
    CHECK(info.routers[r].datagrams > 30);
    CHECK(static_cast<double>(info.routers[r].datagrams) ==
          doctest::Approx(static_cast<double>(virtual_info.routers[r].datagrams)).epsilon(0.35));
    CHECK(info.routers[r].datagram_bytes > 40 * info.routers[r].datagrams);
  }
}
