#include "lab/virtual/virtual.h"

#include <doctest/doctest.h>
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <set>
#include <unordered_map>

#include "fleets.h"
#include "model/plan.h"

using namespace fernward::lab;
using namespace fernward::model;

namespace {

// Tracks each request, try and attempt from its beginning to its end, and hashes all records.
struct Book : Sink {
  struct TryBook {
    Tried tried;
    int answers = 0;
  };
  void on(const Drawn& d) override {
    note(d.at, 1, d.request, d.key, d.work_ms);
    drawn[d.request] = d;
    asked += d.worth;
    if (d.key >= 0xff0000) ++hot;
  }
  void on(const Tried& t) override {
    note(t.at, 2, t.try_id, t.router, t.deadline);
    tries[t.try_id].tried = t;
    taken += t.taken ? 1 : 0;
  }
  void on(const Answered& a) override {
    note(a.at, 3, a.try_id, static_cast<std::uint64_t>(a.heard), a.retry_after_ms);
    ++tries[a.try_id].answers;
    ++heard[a.heard];
    if (a.surplus) ++surplus;
    const Tried& t = tries[a.try_id].tried;
    if (a.heard == Heard::Silence && t.taken) ++silences[t.router];
  }
  void on(const Closed& c) override {
    note(c.at, 4, c.request, static_cast<std::uint64_t>(c.end), c.latency_ms);
    ++closed[c.request];
    earned += c.earned;
    // Earned and possible value, by the second in which the request was drawn.
    auto& second = seconds[static_cast<int>(drawn[c.request].at / 1000)];
    second.first += c.earned, second.second += drawn[c.request].worth;
  }
  void on(const Arrived& a) override {
    note(a.at, 5, a.attempt, a.machine, a.work_ms);
    ++arrived[a.attempt];
    ++at_machine[a.machine];
    if (const auto told = unwanted.find({a.router, a.machine}); told != unwanted.end()) {
      if (a.sent_at > told->second + 250) ++late_sends;
    }
  }
  void on(const Begun& b) override { note(b.at, 6, b.attempt, b.machine, 0); }
  void on(const AttemptEnded& a) override {
    note(a.at, 7, a.attempt, static_cast<std::uint64_t>(a.ending), a.worked_ms);
    ++ended[a.attempt];
    ++endings[a.ending];
  }
  void on(const LoadSample& s) override {
    note(s.at, 8, s.machine, s.in_work, s.used);
    new_links += s.new_connections;
    if (s.at != sampled_at) links = 0;
    sampled_at = s.at;
    links += s.connections;
    most_links = std::max(most_links, links);
  }
  void on(const NodeEvent& e) override {
    note(e.at, 9, e.machine, static_cast<std::uint64_t>(e.what), e.told_share);
    ++node_events[e.what];
  }
  void on(const RouterEvent& e) override {
    note(e.at, 10, e.router, static_cast<std::uint64_t>(e.what), 0);
    ++router_events[e.what];
  }
  void on(const Told& t) override {
    note(t.at, 11, t.router, t.machine, t.started_at);
    if (t.state == fernward::ServerState::Ready) {
      unwanted.erase({t.router, t.machine});
    } else {
      unwanted.try_emplace({t.router, t.machine}, t.at);
      if (!t.cached) ++told_gone;
    }
  }
  void on(const Mark& m) override { note(m.at, 12, m.event, m.begins, 0); }

  void note(double at, std::uint64_t what, std::uint64_t a, std::uint64_t b, double c) {
    in_order = in_order && at >= last;
    last = std::max(last, at);
    const struct {
      double at, c;
      std::uint64_t what, a, b;
    } all{at, c, what, a, b};
    hash = XXH3_64bits_withSeed(&all, sizeof all, hash);
  }
  double service() const { return earned / asked; }
  double service(int from_s, int to_s) const {
    double got = 0, of = 0;
    for (auto it = seconds.lower_bound(from_s); it != seconds.end() && it->first < to_s; ++it) {
      got += it->second.first, of += it->second.second;
    }
    return got / of;
  }

  std::unordered_map<RequestNumber, Drawn> drawn;
  std::map<TryId, TryBook> tries;
  std::unordered_map<RequestNumber, int> closed;
  std::unordered_map<AttemptId, int> arrived, ended;
  std::map<MachineId, int> at_machine;
  std::map<Heard, int> heard;
  std::map<Ending, int> endings;
  std::map<NodeEvent::What, int> node_events;
  std::map<RouterEvent::What, int> router_events;
  std::map<RouterId, int> silences;
  std::map<std::pair<RouterId, MachineId>, double> unwanted;
  std::map<int, std::pair<double, double>> seconds;
  double asked = 0, earned = 0, last = 0, new_links = 0, sampled_at = -1;
  std::uint32_t links = 0, most_links = 0; // of all machines at one sample time
  int late_sends = 0, told_gone = 0, taken = 0, surplus = 0, hot = 0;
  bool in_order = true;
  std::uint64_t hash = 0;
};

void run(const Spec& spec, Book& book) {
  for (const Fault& fault : faults(spec)) FAIL(fault.path, " ", fault.why);
  const RunInfo info = make_virtual_driver()->run(spec, book);
  CHECK_FALSE(info.is_void);
  CHECK(book.in_order);
  CHECK(book.closed.size() == book.drawn.size());
  CHECK(book.surplus == 0);
  for (const auto& [request, times] : book.closed) {
    if (times != 1) FAIL("request ", request, " ended ", times, " times");
  }
  for (const auto& [id, t] : book.tries) {
    if (t.answers != 1) FAIL("try ", id, " was answered ", t.answers, " times");
  }
  CHECK(book.ended.size() == book.arrived.size());
  for (const auto& [attempt, times] : book.ended) {
    if (times != 1 || book.arrived.count(attempt) == 0) FAIL("attempt ", attempt, " ended ", times, " times");
  }
}

TimedEvent event(double at, Happening what) { return {at, "", std::move(what)}; }

} // namespace

TEST_CASE("the same spec gives bit-identical records and another seed gives others") {
  Spec spec = test::ports(410, 8);
  spec.events = {event(2000, KillNodes{{{}, {}, {}, {}, 2, 1, true}}),
                 event(3000, RestartRouters{{{}, {}, 2}, RouterEnd::Kill, 1000, 0, 0}),
                 event(4000, BadAnswers{{}, 0.2, 6000, BadAnswer::CutOff})};
  Book a, b, c;
  run(spec, a);
  run(spec, b);
  CHECK(a.hash == b.hash);
  spec.seed = 2;
  run(spec, c);
  CHECK(a.hash != c.hash);
  CHECK(a.drawn.size() > 3000);
}

TEST_CASE("a change of one setting does not shift the random draws of others: requests stay the same") {
  Spec spec = test::ports(410, 4);
  Book a, b;
  run(spec, a);
  spec.network.jitter = 0.9;
  spec.clients.retries = 0;
  spec.kinds[0].error_rate = 0.1;
  run(spec, b);
  REQUIRE(a.drawn.size() == b.drawn.size());
  for (const auto& [request, drawn] : a.drawn) {
    const Drawn& other = b.drawn.at(request);
    CHECK((drawn.at == other.at && drawn.key == other.key && drawn.work_ms == other.work_ms));
  }
}

TEST_CASE("each event of the fleet takes effect at the routers and in the records") {
  using NodeWhat = NodeEvent::What;
  using RouterWhat = RouterEvent::What;
  const NodePick two{{}, {}, {}, {}, 2, 1, true}, half{{}, {}, {}, {}, {}, 0.5, true};
  const RouterPick all, one{{}, {}, 1, 1, true};
  const struct {
    std::string name;
    Happening what;
    std::function<bool(const Book&)> seen;
  } cases[] = {
      {"drain", DrainNodes{two, 3000, 0},
       [](const Book& b) {
         return b.node_events.at(NodeWhat::Draining) == 2 && b.node_events.at(NodeWhat::Ended) == 2 &&
                b.told_gone >= 8 && b.endings.count(Ending::Draining) > 0;
       }},
      {"kill", KillNodes{two},
       [](const Book& b) { return b.endings.count(Ending::Lost) > 0 && b.told_gone == 8; }},
      {"restart", RestartNodes{two, 1000},
       [](const Book& b) { return b.node_events.at(NodeWhat::Started) == 2; }},
      {"replace", ReplaceNodes{two, 1000},
       [](const Book& b) { return b.node_events.at(NodeWhat::Started) == 2 && b.at_machine.count(15) > 0; }},
      {"silent", SilentNodes{two, 0},
       [](const Book& b) { return b.told_gone == 8 && b.endings.count(Ending::Lost) == 0; }},
      {"neighbour", Neighbour{half, 0.6, 9000, 2000, 1000},
       [](const Book& b) { return b.node_events.at(NodeWhat::NeighbourOn) > 7; }},
      {"cut between zones", CutZones{{0}, {1, 2, 3}, 8000}, [](const Book& b) { return b.told_gone == 0; }},
      {"cut between nodes and routers", CutNodes{half, one, 8000},
       [](const Book& b) { return b.told_gone == 0; }},
      {"routers killed", RestartRouters{all, RouterEnd::Kill, 1500, 2, 4000},
       [](const Book& b) {
         return b.router_events.at(RouterWhat::Killed) == 4 && b.heard.count(Heard::Broken) > 0;
       }},
      {"routers terminated", RestartRouters{all, RouterEnd::Term, 1000, 1, 4000},
       [](const Book& b) {
         return b.router_events.at(RouterWhat::Ended) == 4 && b.router_events.at(RouterWhat::Started) == 8 &&
                b.heard.count(Heard::Broken) == 0;
       }},
      {"reload", ReloadRouters{all},
       [](const Book& b) { return b.router_events.at(RouterWhat::Reloaded) == 4; }},
      {"discovery outage", DiscoveryOutage{8000}, [](const Book& b) { return b.told_gone == 0; }},
      {"discovery moves", DiscoveryMove{1000, 300},
       [](const Book& b) { return b.router_events.at(RouterWhat::Reloaded) == 4; }},
      {"origin stalls", OriginStall{5000}, [](const Book& b) { return b.service(3, 5) < b.service(0, 2); }},
      {"origin slow", OriginSlow{0.3, 6000}, [](const Book& b) { return b.service() > 0.5; }},
      {"origin falls", OriginFall{2000}, [](const Book& b) { return b.endings.count(Ending::Lost) > 0; }},
      {"hot key", HotKey{0.3, 8000}, [](const Book& b) { return b.hot > 500; }},
      {"load spike", LoadSpike{2, 7000}, [](const Book& b) { return b.drawn.size() > 5500; }},
      {"zone lost", LostZone{1, 0, true},
       [](const Book& b) { return b.router_events.at(RouterWhat::Silent) == 1; }},
      {"zone lost with its clients", LostZone{1, 8000, false},
       [](const Book& b) { return b.heard.at(Heard::Silence) > 400; }},
      {"slow link", SlowLink{0, 1, 20, 8000}, [](const Book& b) { return b.service() > 0.5; }},
      {"errors", BadAnswers{two, 0.5, 0, BadAnswer::Error}, [](const Book& b) { return b.service() > 0.8; }},
      {"never ends", BadAnswers{two, 0.5, 0, BadAnswer::NeverEnds},
       [](const Book& b) { return b.service() > 0.8; }},
      {"slow bytes", BadAnswers{two, 0.5, 8000, BadAnswer::SlowBytes},
       [](const Book& b) { return b.service() > 0.8; }},
  };
  for (const auto& c : cases) {
    CAPTURE(c.name);
    Spec spec = test::ports(410, 11);
    spec.events = {event(3000, c.what)};
    Book book;
    run(spec, book);
    CHECK(c.seen(book));
    CHECK(book.late_sends == 0);
    CHECK(book.service(0, 2) > 0.9);
    CHECK(book.service() > 0.5);
  }
}

// If a server rejects the first request of a connection, a router concludes that the server is short of
// connections, not of capacity. Guards against virtual time not telling its routers that a request is the
// first of its connection, as once happened.
TEST_CASE("an origin that rejects the first request of a connection is logged as refusing connections") {
  struct Says : Sink {
    void on(const RouterLog& l) override {
      refuses += std::string(l.text).find("origin refuses further connections") != std::string::npos;
    }
    int refuses = 0;
  };
  for (const std::uint64_t seed : {1, 2, 3}) {
    Spec spec = test::ports(410, 11);
    spec.seed = seed;
    spec.origin.queue_ms = 300;
    spec.events = {event(3000, RestartNodes{{}, 500}), event(4000, OriginSlow{0.2, 8000})};
    Says says;
    make_virtual_driver()->run(spec, says);
    CHECK(says.refuses > 0);
  }
}

// The same shutdown as in src/router/router.cpp. Guards against a difference between the two: a fleet on
// sockets once ended seconds later than the same fleet in virtual time.
TEST_CASE(
    "a terminated router serves kept connections for half of its shutdown time and ends sooner without any") {
  struct Ends : Sink {
    void on(const Tried& t) override { tries[t.try_id] = t; }
    void on(const Answered& a) override {
      const Tried& t = tries[a.try_id];
      if (a.heard == Heard::Served && t.at > 3600 && t.at < 4100) ++(t.new_connection ? anew : kept);
    }
    void on(const RouterEvent& e) override {
      if (e.what == RouterEvent::What::Ended) ended.push_back(e.at);
    }
    std::map<TryId, Tried> tries;
    std::vector<double> ended;
    int kept = 0, anew = 0;
  };
  for (const std::uint64_t seed : {1, 2, 3}) {
    Spec spec = test::ports(410, 11);
    spec.seed = seed;
    spec.events = {event(3000, RestartRouters{{}, RouterEnd::Term, 1000, 0, 0})};
    double longest = 0;
    for (const ClassSpec& c : spec.classes) longest = std::max(longest, c.give_up_ms);
    const double half = (longest + 600) / 2; // below 1.5 s here
    Ends keeps, anew;
    make_virtual_driver()->run(spec, keeps);
    CHECK(keeps.kept > 100);
    CHECK(keeps.anew == 0);
    CHECK(keeps.ended.size() == 4);
    for (const double at : keeps.ended) CHECK(at >= 3000 + half);
    spec.clients.keep_connections = false;
    make_virtual_driver()->run(spec, anew);
    CHECK(anew.kept == 0);
    CHECK(anew.ended.size() == 4);
    CHECK(anew.ended.front() < 3000 + half);
    // Neither side can close the kept connections while no data passes between them.
    Ends cut;
    RouterPick first;
    first.routers = {0};
    spec.clients.keep_connections = true;
    spec.events = {event(3000, LostZone{0, 9000, true}),
                   event(3100, RestartRouters{first, RouterEnd::Term, 1000, 0, 0})};
    make_virtual_driver()->run(spec, cut);
    CHECK(cut.ended.size() == 1);
    CHECK(cut.ended.front() >= 3100 + half);
  }
}

TEST_CASE("standby nodes start cold and a fleet that shrank grows again") {
  Spec spec = test::ports(410, 16);
  spec.nodes[0].standby = 3;
  spec.events = {event(1000, StartNodes{{{}, 0, {}, {}, {}, 1, true}}),
                 event(6000, DrainNodes{{{}, 0, {}, {}, 2, 1, false}, 1000, 2000})};
  Book book;
  run(spec, book);
  CHECK(book.node_events.at(NodeEvent::What::Started) == 3);
  CHECK(book.node_events.at(NodeEvent::What::Warm) == 3);
  CHECK(book.node_events.at(NodeEvent::What::Ended) == 2);
  CHECK(book.late_sends == 0);
}

TEST_CASE("machines that close idle connections early and routers with few sockets are simulated") {
  Spec spec = test::ports(100, 20);
  Book usual, early, few;
  run(spec, usual);
  for (NodeKind& kind : spec.kinds) kind.idle_ms = 40;
  run(spec, early);
  spec = test::ports(410, 10);
  // 40 places: 20 for clients, who would need about 11, and one connection for each node.
  spec.routers.sockets = 64;
  run(spec, few);
  CHECK(early.new_links > 3 * usual.new_links);
  CHECK(early.service() > usual.service() - 0.03);
  CHECK(few.most_links <= 4 * 40);
  CHECK(few.service() > 0.9);
}

TEST_CASE("a fleet of 1000 nodes and 64 routers runs") {
  Book book;
  run(test::ports(29000, 0.3, 1000, 64), book);
  CHECK(book.at_machine.size() > 500);
  CHECK(book.service() > 0.9);
}

TEST_CASE("a run ends soon after a stop request and is marked as stopped") {
  Book book;
  std::stop_source stop;
  RunControl control;
  control.stop = stop.get_token();
  control.progress = [&](double now) {
    if (now > 2000) stop.request_stop();
  };
  const RunInfo info = make_virtual_driver()->run(test::ports(410, 3600), book, control);
  CHECK(info.stopped);
  CHECK(info.played_ms < 10000);
}
