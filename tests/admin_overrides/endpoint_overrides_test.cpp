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

Server server(double started_at_ms = 0, ServerState state = ServerState::Ready) {
  Server server_entry;
  server_entry.id = 1;
  server_entry.started_at = started_at_ms;
  server_entry.state = state;
  return server_entry;
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
  for (const ServerState reported : {ServerState::Draining, ServerState::Gone}) {
    CHECK(overrides.apply("a", server(0, reported)).state == reported);
  }
  CHECK(overrides.enable(5, "a") == Result::Done);
  CHECK(overrides.apply("a", server(0, ServerState::Draining)).state == ServerState::Draining);
  CHECK(overrides.disable("a") == Result::Done); // reverse order: disabled while it drains
  CHECK(overrides.apply("a", server(0, ServerState::Draining)).state == ServerState::Draining);
  // The drain has been withdrawn, the override has not.
  CHECK(overrides.apply("a", server()).state == ServerState::Draining);
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
  EndpointOverrides old_process;
  old_process.set_endpoints({"a", "b", "c"});
  old_process.disable("a");
  old_process.disable("b");
  old_process.enable(70, "b");
  old_process.set_endpoints({"b"});
  EndpointOverrides new_process;
  new_process.set_endpoints({"b", "d"});
  new_process.merge(old_process.snapshot());
  CHECK(new_process.is_disabled("a"));
  CHECK(new_process.apply("b", server()).started_at == 70);
  CHECK(new_process.disable("c") == Result::Done);
  CHECK(new_process.disable("d") == Result::Done);
  new_process.merge(EndpointOverrides::Override{"d", false, 90}); // a change requested from the other process
  CHECK_FALSE(new_process.is_disabled("d"));
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
    double now_ms = 1e9;
    std::map<std::string, Server> listed_servers;
    std::uint64_t last_request_id = 0;
    const auto id_of = [&](const std::string& name) { return static_cast<ServerId>(name[0]); };
    struct InFlightAttempt {
      RequestId id;
      std::uint32_t attempt;
      ServerId server;
      double sent_at_ms;
    };
    std::deque<InFlightAttempt> in_flight; // each takes 30 ms
    const auto send_requests = [&](double until_ms, std::map<ServerId, int>& sent) {
      for (double next = now_ms; now_ms < until_ms; now_ms += 1) {
        std::vector<Action> actions;
        if (now_ms >= next) {
          Request request;
          request.id = ++last_request_id;
          request.key = last_request_id * 0x9e3779b97f4a7c15ull;
          request.deadline = now_ms + 1000;
          balancer.on_event(now_ms, request, actions);
          next = now_ms + 4;
        }
        while (!in_flight.empty() && in_flight.front().sent_at_ms + 30 <= now_ms) {
          const InFlightAttempt ended = in_flight.front();
          in_flight.pop_front();
          AttemptOutcome reported;
          reported.id = ended.id;
          reported.attempt = ended.attempt;
          reported.server = ended.server;
          reported.elapsed_ms = now_ms - ended.sent_at_ms;
          reported.request_ended = true;
          reported.load_report = {static_cast<float>(last_request_id % 3), 30};
          balancer.on_event(now_ms, reported, actions);
        }
        for (const Action& action : actions) {
          const auto* send = std::get_if<Send>(&action);
          if (send == nullptr) continue;
          ++sent[send->server];
          in_flight.push_back({send->id, 0, send->server, now_ms});
        }
      }
    };
    const auto publish_list = [&] {
      std::vector<std::string> now_listed;
      EndpointList list;
      for (const auto& [name, entry] : listed_servers) now_listed.push_back(name);
      overrides.set_endpoints(now_listed);
      for (const auto& [name, entry] : listed_servers) list.servers.push_back(overrides.apply(name, entry));
      std::vector<Action> actions;
      balancer.on_event(now_ms, list, actions);
    };
    for (const auto& name : names) {
      Server server_entry;
      server_entry.id = id_of(name);
      listed_servers[name] = server_entry;
    }
    publish_list();
    for (int step = 0; step < 20; ++step) {
      const std::string name = *rc::gen::elementOf(names);
      switch (*rc::gen::inRange(0, 5)) {
        case 0: overrides.disable(name); break;
        case 1: overrides.enable(now_ms, name); break;
        case 2: listed_servers.erase(name); break;
        case 3: {
          Server server_entry;
          server_entry.id = id_of(name);
          server_entry.started_at = *rc::gen::inRange(0, 2) == 0 ? 0 : now_ms;
          listed_servers[name] = server_entry;
          break;
        }
        default: break;
      }
      publish_list();
      std::map<ServerId, int> sent;
      send_requests(now_ms + *rc::gen::inRange(1, 400), sent);
      for (const auto& cache_name : names) {
        if (overrides.is_disabled(cache_name) || listed_servers.count(cache_name) == 0)
          RC_ASSERT(sent[id_of(cache_name)] == 0);
      }
    }
    for (const auto& name : names) { // all caches are enabled, and all receive requests
      Server server_entry;
      server_entry.id = id_of(name);
      listed_servers[name] = server_entry;
      overrides.enable(now_ms, name);
    }
    publish_list();
    std::map<ServerId, int> sent;
    send_requests(now_ms + 5000, sent);
    for (const auto& cache_name : names) RC_ASSERT(sent[id_of(cache_name)] > 0);
  }));
}
