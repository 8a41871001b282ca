// Bans by hand: cases, and the module under random lists, bans and time.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "admin_overrides/endpoint_overrides.h"

using namespace fernward;
using admin_overrides::EndpointOverrides;
using Said = EndpointOverrides::Said;

namespace {

Server server(double booted_at = 0, ServerState state = ServerState::Ready) {
  Server s;
  s.id = 1;
  s.started_at = booted_at;
  s.state = state;
  return s;
}

} // namespace

TEST_CASE("a node that is out reads as one that drains, and as one just started once it is back") {
  EndpointOverrides bans;
  bans.list({"a", "b"});
  CHECK(bans.take_out("a") == Said::Yes);
  CHECK(bans.take_out("a") == Said::Yes);
  CHECK(bans.over("a", server()).state == ServerState::Draining);
  CHECK(bans.over("b", server()).state == ServerState::Ready);
  CHECK(bans.put_back(500, "a") == Said::Yes); // one call ends it, however often it was taken out
  CHECK(bans.over("a", server()).state == ServerState::Ready);
  CHECK(bans.over("a", server(100)).started_at == 500);
  CHECK(bans.over("a", server(900)).started_at == 900); // the list knows of a later start
  CHECK(bans.put_back(800, "a") == Said::Yes);
  CHECK(bans.over("a", server()).started_at == 500); // it was not out: nothing is new about it
  CHECK(bans.put_back(800, "b") == Said::Yes);
  CHECK(bans.over("b", server()).started_at == 0);
}

TEST_CASE("a ban lasts while the id leaves the list and comes back, and hides no drain of the list's own") {
  EndpointOverrides bans;
  bans.list({"a"});
  bans.take_out("a");
  bans.list({});
  bans.list({"a", "b"});
  CHECK(bans.over("a", server()).state == ServerState::Draining);
  CHECK(bans.put_back(5, "a") == Said::Yes);
  CHECK(bans.over("a", server(0, ServerState::Draining)).state == ServerState::Draining);
  CHECK(bans.over("a", server(0, ServerState::Gone)).state == ServerState::Gone);
}

TEST_CASE("a drain that is told while a node is out by hand counts then and when it is put back") {
  EndpointOverrides bans;
  bans.list({"a", "b"});
  bans.take_out("a");
  for (const ServerState told : {ServerState::Draining, ServerState::Gone}) {
    CHECK(bans.over("a", server(0, told)).state == told);
  }
  CHECK(bans.put_back(5, "a") == Said::Yes);
  CHECK(bans.over("a", server(0, ServerState::Draining)).state == ServerState::Draining);
  CHECK(bans.take_out("a") == Said::Yes); // and the other way round: out again while it drains
  CHECK(bans.over("a", server(0, ServerState::Draining)).state == ServerState::Draining);
  CHECK(bans.over("a", server()).state == ServerState::Draining); // the drain is taken back, the ban is not
  CHECK(bans.put_back(9, "a") == Said::Yes);
  CHECK(bans.over("a", server()).state == ServerState::Ready);
}

TEST_CASE("an id that was never listed gets a no, one that has gone is remembered, and not without bound") {
  EndpointOverrides bans({3, 2});
  CHECK(bans.take_out("x") == Said::NeverListed);
  CHECK(bans.put_back(1, "x") == Said::NeverListed);
  bans.list({"kept"});
  bans.take_out("kept");
  for (int i = 0; i < 100; ++i) bans.list({"n" + std::to_string(i)});
  CHECK(bans.known() == 5); // one listed, three gone, one out
  CHECK(bans.take_out("n98") == Said::Yes);
  CHECK(bans.take_out("n0") == Said::NeverListed);
  CHECK(bans.out("kept")); // what is out is never forgotten
  CHECK(bans.take_out("n99") == Said::TooMany);
  CHECK(bans.put_back(1, "kept") == Said::Yes);
  CHECK(bans.take_out("n99") == Said::Yes);
}

TEST_CASE("another process goes on with all of it") {
  EndpointOverrides old;
  old.list({"a", "b", "c"});
  old.take_out("a");
  old.take_out("b");
  old.put_back(70, "b");
  old.list({"b"});
  EndpointOverrides next;
  next.list({"b", "d"});
  next.adopt(old.all());
  CHECK(next.out("a"));
  CHECK(next.over("b", server()).started_at == 70);
  CHECK(next.take_out("c") == Said::Yes);
  CHECK(next.take_out("d") == Said::Yes);
  next.adopt(EndpointOverrides::Known{"d", false, 90}); // asked of the other process
  CHECK_FALSE(next.out("d"));
}

TEST_CASE(
    "random lists, bans and time: the module sends nothing to a node that is out, and soon works with it "
    "again") {
  CHECK(rc::check([] {
    const auto names = std::vector<std::string>{"a", "b", "c", "d", "e"};
    Settings settings;
    settings.classes.resize(1);
    settings.classes[0].client_timeout_ms = 1000;
    settings.classes[0].idempotency = Idempotency::Idempotent;
    settings.max_attempts = 1;
    settings.load_report_source = LoadReportSource::Responses;
    settings.load_report_fields = {LoadReportField::Queue, LoadReportField::LatencyMs};
    settings.slow_start_ms = 3000;
    settings.slow_start_min_capacity = 0.3;
    Balancer module(settings, 1 + *rc::gen::arbitrary<std::uint32_t>());
    EndpointOverrides bans;
    double now = 1e9;
    std::map<std::string, Server> listed;
    std::uint64_t ids = 0;
    const auto id_of = [&](const std::string& name) { return static_cast<ServerId>(name[0]); };
    struct Out {
      RequestId id;
      std::uint32_t attempt;
      ServerId server;
      double at;
    };
    std::deque<Out> out; // each takes 30 ms
    const auto play = [&](double until, std::map<ServerId, int>& sent) {
      for (double next = now; now < until; now += 1) {
        std::vector<Action> actions;
        if (now >= next) {
          Request request;
          request.id = ++ids;
          request.key = ids * 0x9e3779b97f4a7c15ull;
          request.deadline = now + 1000;
          module.on_event(now, request, actions);
          next = now + 4;
        }
        while (!out.empty() && out.front().at + 30 <= now) {
          const Out ended = out.front();
          out.pop_front();
          AttemptOutcome told;
          told.id = ended.id;
          told.attempt = ended.attempt;
          told.server = ended.server;
          told.elapsed_ms = now - ended.at;
          told.request_ended = true;
          told.load_report = {static_cast<float>(ids % 3), 30};
          module.on_event(now, told, actions);
        }
        for (const Action& action : actions) {
          const auto* send = std::get_if<Send>(&action);
          if (send == nullptr) continue;
          ++sent[send->server];
          out.push_back({send->id, 0, send->server, now});
        }
      }
    };
    const auto tell = [&] {
      std::vector<std::string> now_listed;
      EndpointList list;
      for (const auto& [name, entry] : listed) now_listed.push_back(name);
      bans.list(now_listed);
      for (const auto& [name, entry] : listed) list.servers.push_back(bans.over(name, entry));
      std::vector<Action> actions;
      module.on_event(now, list, actions);
    };
    for (const auto& name : names) {
      Server s;
      s.id = id_of(name);
      listed[name] = s;
    }
    tell();
    for (int step = 0; step < 20; ++step) {
      const std::string name = *rc::gen::elementOf(names);
      switch (*rc::gen::inRange(0, 5)) {
        case 0: bans.take_out(name); break;
        case 1: bans.put_back(now, name); break;
        case 2: listed.erase(name); break;
        case 3: {
          Server s;
          s.id = id_of(name);
          s.started_at = *rc::gen::inRange(0, 2) == 0 ? 0 : now;
          listed[name] = s;
          break;
        }
        default: break;
      }
      tell();
      std::map<ServerId, int> sent;
      play(now + *rc::gen::inRange(1, 400), sent);
      for (const auto& n : names) {
        if (bans.out(n) || listed.count(n) == 0) RC_ASSERT(sent[id_of(n)] == 0);
      }
    }
    for (const auto& name : names) { // all are called back, and all get work
      Server s;
      s.id = id_of(name);
      listed[name] = s;
      bans.put_back(now, name);
    }
    tell();
    std::map<ServerId, int> sent;
    play(now + 5000, sent);
    for (const auto& n : names) RC_ASSERT(sent[id_of(n)] > 0);
  }));
}
