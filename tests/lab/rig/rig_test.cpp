// Short runs on sockets, checked by counts and never by times, since the test machine may be busy.
#include "lab/rig/rig.h"

#include <doctest/doctest.h>
#include <signal.h>
#include <sys/wait.h>

#include <filesystem>
#include <fstream>
#include <map>
#include <set>

#include "lab/rig/trial.h"
#include "lab/virtual/virtual.h"
#include "support.h"

using namespace fernward;
using namespace fernward::tests;
using model::Heard;
using model::RouterEvent;

namespace {

// Tracks each try and each attempt to its end.
struct Ledger : rig::Counts {
  using rig::Counts::on;
  void on(const model::Drawn& d) override {
    Counts::on(d);
    drawn_keys[d.request] = d;
  }
  void on(const model::Tried& t) override {
    Counts::on(t);
    fresh += t.new_connection ? 1 : 0;
    if (t.taken) owed.insert(t.try_id);
  }
  void on(const model::Answered& a) override {
    Counts::on(a);
    if (a.surplus) return;
    ++answers[a.try_id];
    if (a.heard == Heard::Served || a.heard == Heard::Refused || a.heard == Heard::Failed)
      owed.erase(a.try_id);
    ++by_heard[static_cast<std::size_t>(a.heard)];
  }
  void on(const model::Closed& c) override {
    Counts::on(c);
    ++ends_of[c.request];
  }
  void on(const model::Arrived& a) override {
    Counts::on(a);
    open.insert(a.attempt);
    if (a.write) ++written[a.try_id];
    arrivals.push_back(a);
  }
  void on(const model::AttemptEnded& e) override {
    Counts::on(e);
    CHECK(open.erase(e.attempt) == 1);
  }
  void on(const model::RouterLog& l) override { said += std::string(l.text) + "\n"; }

  int seen(RouterEvent::What what) const {
    return static_cast<int>(std::count_if(router_events.begin(), router_events.end(),
                                          [&](const auto& e) { return e.what == what; }));
  }
  void sound() const { // the rig's own records are consistent, whatever the routers do
    CHECK(drawn > 0);
    CHECK(closed == drawn);
    CHECK(std::all_of(ends_of.begin(), ends_of.end(), [](const auto& e) { return e.second == 1; }));
    CHECK(answers.size() == tried);
    CHECK(std::all_of(answers.begin(), answers.end(), [](const auto& a) { return a.second == 1; }));
    CHECK(attempts_ended == arrived);
    CHECK(open.empty());
  }

  std::map<model::RequestNumber, model::Drawn> drawn_keys;
  std::map<model::RequestNumber, int> ends_of;
  std::map<model::TryId, int> answers, written;
  std::set<model::TryId> owed;
  std::set<model::AttemptId> open;
  std::vector<model::Arrived> arrivals;
  std::size_t by_heard[7] = {}, fresh = 0;
  std::string said;
};

lab::RigOptions options(const std::string& fault = "") {
  lab::RigOptions o;
  o.program = FERNWARD_PROGRAM;
  o.late_p99_ms = o.late_p999_ms = 1e9; // the test machine may be busy
  o.check_memory = false;               // sanitizers use memory of their own
  if (!fault.empty()) o.programs.assign(2, {{FERNWARD_BAD_ROUTER, fault}, false});
  return o;
}

model::Spec spec_of(double seconds, double rate, const std::string& event = "") {
  rig::TrialFleet fleet;
  fleet.seconds = seconds;
  fleet.rate_per_s = rate;
  fleet.work_ms = 5;
  model::Spec spec = rig::trial_spec(fleet);
  rig::add_event(spec, event);
  return spec;
}

lab::RunInfo play(const model::Spec& spec, Ledger& ledger, const lab::RigOptions& how) {
  return lab::make_rig_driver(how)->run(spec, ledger);
}

// Counts the run directories left in `directory` and the processes whose configuration is in one of them.
std::size_t left_behind(const std::string& directory) {
  std::size_t count = 0;
  for ([[maybe_unused]] const auto& entry : std::filesystem::directory_iterator(directory)) ++count;
  std::error_code fault;
  for (const auto& process : std::filesystem::directory_iterator("/proc", fault)) {
    std::ifstream file(process.path() / "environ");
    const std::string text{std::istreambuf_iterator<char>(file), {}};
    if (text.find("NODE_CONFIG=" + directory) != std::string::npos) ++count;
  }
  return count;
}

} // namespace

TEST_CASE("in a run without faults every request ends exactly once at client and router and server") {
  Ledger ledger;
  const auto info = play(spec_of(3, 150), ledger, options());
  CAPTURE(ledger.said);
  CHECK(info.why_void.empty());
  ledger.sound();
  CHECK(ledger.owed.empty());
  CHECK(ledger.surplus == 0);
  CHECK(ledger.not_genuine == 0);
  CHECK(ledger.ends[static_cast<std::size_t>(Heard::Served)] > ledger.drawn * 9 / 10);
  CHECK(ledger.at_origin > 0);
  CHECK(ledger.hits > ledger.at_origin);
  CHECK(ledger.seen(RouterEvent::What::Ready) == 2);
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
    Ledger ledger;
    const auto info = play(spec_of(4, 80, c.event), ledger, options());
    CHECK(info.why_void.empty());
    ledger.sound();
    CHECK(ledger.surplus == 0);
    CHECK(ledger.seen(What::Killed) == c.killed);
    CHECK(ledger.seen(What::Ended) == c.ended);
    CHECK(ledger.seen(What::Reloaded) == c.reloaded);
    CHECK(ledger.seen(What::Crashed) == c.crashed);
    CHECK(ledger.seen(What::Ready) == c.ready);
    if (std::string(c.event) == "term-router") CHECK(ledger.owed.empty());
    if (std::string(c.event) == "move") CHECK(ledger.said.find("discovery-connected") != std::string::npos);
  }
}

TEST_CASE("the fault of each bad router is visible in the records") {
  const struct {
    const char* fault;
    std::function<bool(const Ledger&, const lab::RunInfo&)> shows;
  } cases[] = {
      {"honest",
       [](const Ledger& l, const auto& i) { return l.owed.empty() && l.surplus == 0 && !i.is_void; }},
      {"hasty",
       [](const Ledger& l, const auto& i) {
         return l.owed.empty() && l.by_heard[static_cast<std::size_t>(Heard::Broken)] == 0 && !i.is_void;
       }},
      {"twice", [](const Ledger& l, const auto&) { return l.surplus > l.drawn / 6; }},
      {"lose",
       [](const Ledger& l, const auto&) { return l.by_heard[static_cast<std::size_t>(Heard::Broken)] > 20; }},
      {"silent", [](const Ledger& l,
                    const auto&) { return l.by_heard[static_cast<std::size_t>(Heard::Silence)] > 20; }},
      {"forge", [](const Ledger& l, const auto&) { return l.not_genuine > 20; }},
      {"swap", [](const Ledger& l, const auto&) { return l.not_genuine + l.surplus > 20; }},
      {"alter", [](const Ledger&, const auto& i) { return i.is_void; }},
      {"repeat",
       [](const Ledger& l, const auto&) {
         return std::any_of(l.written.begin(), l.written.end(), [](const auto& w) { return w.second > 1; });
       }},
      {"shout", [](const Ledger&, const auto& i) { return i.is_void; }},
      {"crash", [](const Ledger& l, const auto&) { return l.seen(RouterEvent::What::Crashed) == 2; }},
  };
  for (const auto& c : cases) {
    const std::string fault = c.fault;
    CAPTURE(fault);
    Ledger ledger;
    const auto info = play(spec_of(2, 100), ledger, options(c.fault));
    CAPTURE(ledger.said);
    ledger.sound();
    CHECK(c.shows(ledger, info));
  }
}

TEST_CASE("client settings for connections and disconnects and retries take effect") {
  const struct {
    const char* habit;
    std::function<void(model::Spec&)> change;
    std::function<bool(const Ledger&, const lab::RunInfo&)> shows;
  } cases[] = {
      {"kept", [](model::Spec&) {}, [](const Ledger& l, const auto&) { return l.fresh < l.tried / 2; }},
      {"new for each request", [](model::Spec& s) { s.clients.keep_connections = false; },
       [](const Ledger& l, const auto&) { return l.fresh == l.tried && l.owed.empty(); }},
      {"resting", [](model::Spec& s) { s.clients.resting = 40; },
       [](const Ledger&, const auto& i) { return i.routers[0].peak_sockets > 40; }},
      {"leaving", [](model::Spec& s) { s.clients.leave_share = 1; },
       [](const Ledger& l, const auto&) { return l.by_heard[static_cast<std::size_t>(Heard::Left)] > 0; }},
      {"retrying after refusal",
       [](model::Spec& s) {
         s.clients.retries = 3;
         s.clients.heed = 0;
         s.clients.backoff_ms = 50;
         s.routers.open_cap = 1; // most requests are refused
       },
       [](const Ledger& l, const auto&) { return l.tried > l.drawn && l.owed.empty(); }},
  };
  for (const auto& c : cases) {
    const std::string habit = c.habit;
    CAPTURE(habit);
    model::Spec spec = spec_of(1.5, 100);
    c.change(spec);
    Ledger ledger;
    const auto info = play(spec, ledger, options());
    CHECK(info.why_void.empty());
    ledger.sound();
    CHECK(ledger.surplus == 0);
    CHECK(c.shows(ledger, info));
  }
}

TEST_CASE("attempts that a router sends to draining nodes are recorded") {
  model::Spec spec = spec_of(5, 100);
  model::NodePick half;
  half.share = 0.5;
  spec.events.push_back({500, "", model::DrainNodes{half, 4000, 0}});
  spec.discovery.notice_min_ms = spec.discovery.notice_max_ms = 500;
  Ledger ledger;
  play(spec, ledger, options("drained"));
  const auto late = [&](const model::Arrived& a) {
    return std::any_of(ledger.told.begin(), ledger.told.end(), [&](const model::Told& t) {
      return t.router == a.router && t.machine == a.machine && t.state != ServerState::Ready &&
             a.sent_at > t.at + 250;
    });
  };
  CHECK(std::count_if(ledger.arrivals.begin(), ledger.arrivals.end(), late) > 10);
}

TEST_CASE("a cold node overloaded by routers notified of its start fails and the share is recorded") {
  model::Spec spec = spec_of(6, 150, "");
  spec.classes[0].work.mean = 100;
  spec.kinds[0].warm_ms = 5000;
  spec.kinds[0].tip_ms = 500;
  model::NodePick one;
  one.count = 1;
  spec.events.push_back({500, "", model::StartNodes{one}});
  Ledger ledger;
  play(spec, ledger, options("flood"));
  const auto fell =
      std::find_if(ledger.node_events.begin(), ledger.node_events.end(),
                   [](const model::NodeEvent& e) { return e.what == model::NodeEvent::What::TippedOver; });
  REQUIRE(fell != ledger.node_events.end());
  CHECK(fell->cold);
  CHECK(fell->told_share > 2.0 / 3);
}

TEST_CASE("a router that ignores SIGTERM is killed and one that cannot start ends the run with its error") {
  Ledger ledger;
  model::Spec spec = spec_of(6, 50);
  model::RouterPick first;
  first.routers = {0};
  spec.events.push_back({500, "", model::RestartRouters{first, model::RouterEnd::Term, 200, 0, 0}});
  const auto info = play(spec, ledger, options("hang"));
  ledger.sound();
  CHECK(ledger.said.find("has not ended after SIGTERM") != std::string::npos);
  CHECK(ledger.seen(RouterEvent::What::Term) == 1);
  CHECK(ledger.seen(RouterEvent::What::Killed) >= 1); // at the end of the run both routers are killed
  CHECK(ledger.seen(RouterEvent::What::Started) == 3);
  CHECK(info.wall_s < 30);
  lab::RigOptions absent = options();
  absent.program = "/nowhere/fernward";
  CHECK_THROWS_WITH_AS(play(spec_of(1, 50), ledger, absent), doctest::Contains("/nowhere/fernward"),
                       std::runtime_error);
}

TEST_CASE("a late run is void with a reason and a run stops on request") {
  Ledger ledger;
  lab::RigOptions strict = options();
  strict.late_p99_ms = 0; // every run is later than this
  const auto info = play(spec_of(1, 50), ledger, strict);
  CHECK(info.is_void);
  REQUIRE_FALSE(info.why_void.empty());
  CHECK(info.why_void[0].find("late") != std::string::npos);

  std::stop_source stop;
  lab::RunControl control;
  control.stop = stop.get_token();
  control.progress = [&](double now) {
    if (now > 300) stop.request_stop();
  };
  const auto stopped = lab::make_rig_driver(options())->run(spec_of(600, 50), ledger, control);
  CHECK(stopped.stopped);
  CHECK(stopped.played_ms < 60000);
}

TEST_CASE("no process or directory is left after the lab gets SIGKILL or SIGINT or SIGTERM") {
  for (const int number : {SIGKILL, SIGINT, SIGTERM}) {
    CAPTURE(number);
    char name[] = "/tmp/fernward-test-XXXXXX";
    const std::string directory = mkdtemp(name);
    const pid_t lab = fork();
    if (lab == 0) {
      setenv("TMPDIR", directory.c_str(), 1);
      execl(FERNWARD_RIG, FERNWARD_RIG, "--program", FERNWARD_PROGRAM, "--seconds", "600", "--rate", "50",
            nullptr);
      _exit(127);
    }
    // One directory and two routers.
    REQUIRE(until([&] { return left_behind(directory) >= 3; }));
    usleep(300000);
    kill(lab, number);
    int status = 0;
    waitpid(lab, &status, 0);
    CHECK(until([&] { return left_behind(directory) == 0; }, number == SIGKILL ? 5000 : 100));
    std::filesystem::remove_all(directory);
  }
}

TEST_CASE("sharing routers with one of them paused behave on sockets as in virtual time") {
  model::Spec spec = spec_of(5, 100);
  spec.routers.sharing.on = true;
  spec.routers.sharing.period_ms = 100;
  model::RouterPick second;
  second.routers = {1};
  spec.events = {{1500, "", model::PauseRouters{second, 2500}},
                 {2500, "", model::CutRouters{{}, second, false, model::CutWhat::Datagrams, 0}}};
  std::get<model::CutRouters>(spec.events[1].what).a.routers = {0};
  Ledger sockets, virtually;
  const auto info = play(spec, sockets, options());
  const auto beside = lab::make_virtual_driver()->run(spec, virtually);
  CAPTURE(sockets.said);
  sockets.sound();
  CHECK(info.why_void.empty());
  CHECK(sockets.said.find("fleet living=") != std::string::npos);
  for (const Ledger* ledger : {&sockets, &virtually}) {
    CHECK(ledger->seen(RouterEvent::What::Paused) == 1);
    CHECK(ledger->seen(RouterEvent::What::Woke) == 1);
    // A paused process answers nobody, so the bound leaves room for its requests.
    CHECK(ledger->ends[static_cast<std::size_t>(Heard::Served)] > ledger->drawn * 8 / 10);
  }
  REQUIRE(info.routers.size() == 2);
  for (std::size_t r = 0; r < 2;
       ++r) { // the size of datagrams does not depend on timing, and their number hardly does
    CHECK(info.routers[r].datagrams > 30);
    CHECK(static_cast<double>(info.routers[r].datagrams) ==
          doctest::Approx(static_cast<double>(beside.routers[r].datagrams)).epsilon(0.35));
    CHECK(info.routers[r].datagram_bytes > 40 * info.routers[r].datagrams);
  }
}
