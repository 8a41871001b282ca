// Endpoint overrides: single cases, and the balancer with random lists, overrides and times.
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
using Result = EndpointOverrides::Result;

namespace {

Server server(double booted_at = 0, ServerState state = ServerState::Ready) {
  Server s;
  s.id = 1;
  s.started_at = booted_at;
  s.state = state;
  return s;
}

} // namespace

TEST_CASE("a disabled cache is presented as draining and an enabled one as just started") {
  EndpointOverrides overrides;
  overrides.set_endpoints({"a", "b"});
  CHECK(overrides.disable("a") == Result::Done);
  CHECK(overrides.disable("a") == Result::Done);
  CHECK(overrides.apply("a", server()).state == ServerState::Draining);
  CHECK(overrides.apply("b", server()).state == ServerState::Ready);
  CHECK(overrides.enable(500, "a") == Result::Done); // one call is enough, however often it was disabled
  CHECK(overrides.apply("a", server()).state == ServerState::Ready);
  CHECK(overrides.apply("a", server(100)).started_at == 500);
  CHECK(overrides.apply("a", server(900)).started_at == 900); // the list states a later start
  CHECK(overrides.enable(800, "a") == Result::Done);
  CHECK(overrides.apply("a", server()).started_at == 500); // it was not disabled: no new start
  CHECK(overrides.enable(800, "b") == Result::Done);
  CHECK(overrides.apply("b", server()).started_at == 0);
}

TEST_CASE("an override persists while the cache is not listed and does not hide a drain in the list") {
  EndpointOverrides overrides;
  overrides.set_endpoints({"a"});
  overrides.disable("a");
  overrides.set_endpoints({});
  overrides.set_endpoints({"a", "b"});
  CHECK(overrides.apply("a", server()).state == ServerState::Draining);
  CHECK(overrides.enable(5, "a") == Result::Done);
  CHECK(overrides.apply("a", server(0, ServerState::Draining)).state == ServerState::Draining);
  CHECK(overrides.apply("a", server(0, ServerState::Gone)).state == ServerState::Gone);
}

TEST_CASE("a drain received while a cache is disabled applies before and after it is enabled") {
  EndpointOverrides overrides;
  overrides.set_endpoints({"a", "b"});
  overrides.disable("a");
  for (const ServerState told : {ServerState::Draining, ServerState::Gone}) {
    CHECK(overrides.apply("a", server(0, told)).state == told);
  }
  CHECK(overrides.enable(5, "a") == Result::Done);
  CHECK(overrides.apply("a", server(0, ServerState::Draining)).state == ServerState::Draining);
  CHECK(overrides.disable("a") == Result::Done); // reverse order: disabled while it drains
  CHECK(overrides.apply("a", server(0, ServerState::Draining)).state == ServerState::Draining);
  CHECK(overrides.apply("a", server()).state ==
        ServerState::Draining); // the drain has been withdrawn, the override has not
  CHECK(overrides.enable(9, "a") == Result::Done);
  CHECK(overrides.apply("a", server()).state == ServerState::Ready);
}

TEST_CASE("a name never listed is rejected and unlisted names are kept up to a limit") {
  EndpointOverrides overrides({3, 2});
  CHECK(overrides.disable("x") == Result::UnknownEndpoint);
  CHECK(overrides.enable(1, "x") == Result::UnknownEndpoint);
  overrides.set_endpoints({"kept"});
  overrides.disable("kept");
  for (int i = 0; i < 100; ++i) overrides.set_endpoints({"n" + std::to_string(i)});
  CHECK(overrides.size() == 5); // one listed, three unlisted, one disabled
  CHECK(overrides.disable("n98") == Result::Done);
  CHECK(overrides.disable("n0") == Result::UnknownEndpoint);
  CHECK(overrides.is_disabled("kept")); // a disabled name is never evicted
  CHECK(overrides.disable("n99") == Result::TooManyDisabled);
  CHECK(overrides.enable(1, "kept") == Result::Done);
  CHECK(overrides.disable("n99") == Result::Done);
}

TEST_CASE("another process adopts all overrides") {
  EndpointOverrides old;
  old.set_endpoints({"a", "b", "c"});
  old.disable("a");
  old.disable("b");
  old.enable(70, "b");
  old.set_endpoints({"b"});
  EndpointOverrides next;
  next.set_endpoints({"b", "d"});
  next.adopt(old.snapshot());
  CHECK(next.is_disabled("a"));
  CHECK(next.apply("b", server()).started_at == 70);
  CHECK(next.disable("c") == Result::Done);
  CHECK(next.disable("d") == Result::Done);
  next.adopt(EndpointOverrides::Override{"d", false, 90}); // a change requested from the other process
  CHECK_FALSE(next.is_disabled("d"));
}

TEST_CASE("the balancer sends nothing to a disabled cache and uses it again soon after it is enabled") {
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
    Balancer balancer(settings, 1 + *rc::gen::arbitrary<std::uint32_t>());
    EndpointOverrides overrides;
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
          balancer.on_event(now, request, actions);
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
          balancer.on_event(now, told, actions);
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
      overrides.set_endpoints(now_listed);
      for (const auto& [name, entry] : listed) list.servers.push_back(overrides.apply(name, entry));
      std::vector<Action> actions;
      balancer.on_event(now, list, actions);
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
        case 0: overrides.disable(name); break;
        case 1: overrides.enable(now, name); break;
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
        if (overrides.is_disabled(n) || listed.count(n) == 0) RC_ASSERT(sent[id_of(n)] == 0);
      }
    }
    for (const auto& name : names) { // all caches are enabled, and all receive requests
      Server s;
      s.id = id_of(name);
      listed[name] = s;
      overrides.enable(now, name);
    }
    tell();
    std::map<ServerId, int> sent;
    play(now + 5000, sent);
    for (const auto& n : names) RC_ASSERT(sent[id_of(n)] > 0);
  }));
}
